package config

import (
	"net/http"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// IsIdempotent reports whether a request may run more than once. Unless a pattern matches, all methods but POST and PATCH
// are idempotent.
func (s *Service) IsIdempotent(method, target string) bool {
	if matchesAny(s.NonIdempotent, method, target) {
		return false
	}
	if matchesAny(s.Idempotent, method, target) {
		return true
	}
	return method != http.MethodPost && method != http.MethodPatch
}

// ClassOf returns the class of a request.
func (s *Service) ClassOf(method, target string) ident.Class {
	if matchesAny(s.Checks, method, target) {
		return ident.Check
	}
	if matchesAny(s.Uploads, method, target) {
		return ident.Upload
	}
	return s.Class
}

func matchesAny(patterns []Pattern, method, target string) bool {
	for _, pattern := range patterns {
		if pattern.Matches(method, target) {
			return true
		}
	}
	return false
}
