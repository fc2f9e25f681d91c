package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// instance is an entry of the list of servers.
type instance struct {
	ID        string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Machine   string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
	Role      string  `json:"role"`
}

// list is the list of servers. It does not change during a case.
type list struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// heartbeat is the time between two empty lines on a watch.
const heartbeat = 2 * time.Second

// startDiscovery serves the list, and returns the address.
func (r *run) startDiscovery(servers []*server) (string, error) {
	known := list{Generation: 1, Reset: true}
	for _, s := range servers {
		known.Instances = append(known.Instances, instance{
			ID: s.id, Address: s.listener.Addr().String(), Cell: s.cell, Zone: "room", Machine: "small", Lifecycle: "up", Weight: 1, Role: s.role,
		})
	}
	text, err := json.Marshal(known)
	if err != nil {
		return "", fmt.Errorf("discovery: %w", err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("discovery: %w", err)
	}
	r.atEnd(func() { _ = listener.Close() })
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, request *http.Request) {
		_, _ = w.Write(append(text, '\n'))
		flusher, ok := w.(http.Flusher)
		for ok && request.URL.Query().Get("watch") != "" {
			flusher.Flush()
			select {
			case <-request.Context().Done():
				return
			case <-time.After(heartbeat):
				_, _ = w.Write([]byte("\n"))
			}
		}
	})
	service := &http.Server{Handler: mux, ReadHeaderTimeout: heartbeat}
	go func() { _ = service.Serve(listener) }()
	return listener.Addr().String(), nil
}
