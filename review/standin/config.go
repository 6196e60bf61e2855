package main

import (
	"encoding/json"
	"fmt"
)

// Names of the routes and services, in the form that the pages show.
const (
	host          = "hulo84.example"
	orderPrefix   = "/xapu221/ny95/"
	lookupPrefix  = "/lepu270/"
	addedPrefix   = "/fiti832/"
	lookupService = "huvo11a"
	orderService  = "wuno96b"
)

type route struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Prefix   string `json:"prefix"`
	Kind     string `json:"kind"`
	Timeout  string `json:"timeout"`
	Target   string `json:"target_latency"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"max_attempts"`
}

func orders(timeout string) route {
	return route{"r-1", host, orderPrefix, "unsafe", timeout, "400ms", 1, orderService, 2}
}

func lookups(service string) route {
	return route{"r-2", host, lookupPrefix, "safe", "1200ms", "300ms", 2, service, 2}
}

func added() route {
	return route{"r-3", host, addedPrefix, "safe", "1200ms", "300ms", 2, lookupService, 2}
}

func config(version int, routes ...route) []byte {
	services := []map[string]any{}
	for _, name := range []string{lookupService, orderService} {
		services = append(services, map[string]any{
			"name": name, "health_path": "/healthz", "max_connections": 260, "protocol": "h1", "tls": false,
			"cold_start": "3s", "cold_per_s": 25.0,
		})
	}
	text, _ := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version), "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
	})
	return text
}
