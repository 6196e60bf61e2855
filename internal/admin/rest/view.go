package rest

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"
	"time"
	"unicode"
)

// View converts the structs of a state dump to maps with kebab-case keys, so that their types need no JSON tags. Durations, times,
// errors and values that implement encoding.TextMarshaler or fmt.Stringer become text.
func View(value any) any {
	return view(reflect.ValueOf(value))
}

func view(v reflect.Value) any {
	if !v.IsValid() {
		return nil
	}
	if text, ok := asText(v); ok {
		return text
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			return nil
		}
		return view(v.Elem())
	case reflect.Struct:
		return viewStruct(v)
	case reflect.Map:
		return viewMap(v)
	case reflect.Slice, reflect.Array:
		list := make([]any, v.Len())
		for i := range list {
			list[i] = view(v.Index(i))
		}
		return list
	case reflect.Func, reflect.Chan, reflect.UnsafePointer:
		return nil
	default:
		return v.Interface()
	}
}

func asText(v reflect.Value) (string, bool) {
	if !v.CanInterface() || isNil(v) {
		return "", false
	}
	switch typed := v.Interface().(type) {
	case time.Duration:
		return typed.String(), true
	case time.Time:
		return typed.Format(time.RFC3339Nano), true
	case error:
		return typed.Error(), true
	case encoding.TextMarshaler:
		text, err := typed.MarshalText()
		return string(text), err == nil
	case fmt.Stringer:
		return typed.String(), true
	default:
		return "", false
	}
}

func isNil(v reflect.Value) bool {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface, reflect.Map, reflect.Slice, reflect.Func, reflect.Chan:
		return v.IsNil()
	default:
		return false
	}
}

func viewStruct(v reflect.Value) map[string]any {
	fields := map[string]any{}
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.IsExported() {
			fields[kebab(field.Name)] = view(v.Field(i))
		}
	}
	return fields
}

func viewMap(v reflect.Value) map[string]any {
	entries := map[string]any{}
	for iterator := v.MapRange(); iterator.Next(); {
		entries[fmt.Sprint(view(iterator.Key()))] = view(iterator.Value())
	}
	return entries
}

// kebab converts InFlight to in-flight and HTTPStatus to http-status.
func kebab(name string) string {
	var out strings.Builder
	runes := []rune(name)
	for i, r := range runes {
		if unicode.IsUpper(r) && i > 0 {
			afterLower := !unicode.IsUpper(runes[i-1])
			beforeLower := i+1 < len(runes) && unicode.IsLower(runes[i+1])
			if afterLower || beforeLower {
				out.WriteByte('-')
			}
		}
		out.WriteRune(unicode.ToLower(r))
	}
	return out.String()
}
