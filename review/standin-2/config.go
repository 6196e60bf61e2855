package main

import (
	"encoding/json"
	"os"
)

const callersHost = "jepu9.example"

// troubled reports whether the case is to bring its disruption about.
func troubled() bool {
	return os.Getenv("TROUBLE") != "0"
}

// route is a route of the operator's configuration.
type route struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Prefix   string `json:"prefix"`
	Service  string `json:"service"`
	Kind     string `json:"kind"`
	Timeout  string `json:"timeout"`
	Target   string `json:"target_latency"`
	Attempts int    `json:"max_attempts"`
	Priority int    `json:"priority"`
}

func newRoute(name, prefix, service, kind string) route {
	return route{Name: name, Host: callersHost, Prefix: prefix, Service: service, Kind: kind, Timeout: "1s", Target: "300ms", Attempts: 2, Priority: 1}
}

// configuration returns the value of op/config.
func configuration(version string, services []string, routes ...route) []byte {
	list := []map[string]any{}
	for _, name := range services {
		list = append(list, map[string]any{
			"name": name, "health_path": "/healthz", "max_connections": 260, "protocol": "h1", "tls": false, "cold_start": "3s", "cold_per_s": 25.0,
		})
	}
	value, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
	})
	return value
}
