package main

import (
	"fmt"
	"time"
)

// The names of the route and of the service are drawn anew each day on the platform; any will do.
const (
	routeHost = "ficu95.example"
	routePath = "/pufi791/4b"
)

// engineEvents is the number of events of a turn, chunkTokens the tokens of each.
const (
	engineEvents = 4
	chunkTokens  = 3
)

// startSmall starts a deployment like mmtcs-events: four zones with a history host each, two entry
// hosts, engines, and one route whose turns the system keeps for 60 s.
func (c *cluster) startSmall() error {
	var err error
	if c.ports, err = freePorts(); err != nil {
		return err
	}
	if c.store, err = startStore("127.0.30.1:0"); err != nil {
		return err
	}
	c.zones = []string{"seeb", "bawshar", "ruwi", "qurum"}
	for i := range 4 {
		e, err := startEngine(fmt.Sprintf("i-%d", i), "127.0.32.1:0", engineEvents, 3*time.Millisecond, c.record)
		if err != nil {
			return err
		}
		c.engines = append(c.engines, e)
		c.store.put("servers", e.id, map[string]any{
			"service": "agent-llm", "address": e.address, "zone": c.zones[i], "version": "v1", "slots": 16, "state": "ready",
			"coldRemainingMs": 0, "sequence": 1, "phase": "dual", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
		})
	}
	c.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-1", "host": routeHost, "pathPrefix": "/pufi791/", "type": "streaming", "timeoutMs": 4000, "sloMs": 250, "priority": 0,
			"service": "agent-llm", "attempts": 2, "retained": true, "retentionS": 60.0, "sticky": true, "resumable": false, "gapSloMs": 250,
		}},
		"services": []map[string]any{{
			"name": "agent-llm", "healthPath": "/healthz", "maxConns": 180, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 16, "kvCapacityTokens": 246638, "chunkTokens": chunkTokens, "pinMs": 4000.0, "holdMs": 2000.0},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	for _, z := range c.zones {
		h := c.addHost("history", z, 1)
		if len(c.seeds) < 3 {
			c.seeds = append(c.seeds, fmt.Sprintf("%s:%d", h.ip, c.ports.internal))
		}
	}
	c.addHost("entry", c.zones[0], 1)
	c.addHost("entry", c.zones[2], 1)
	for _, h := range c.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	if err := c.awaitReady(20 * time.Second); err != nil {
		return err
	}
	c.record.printf("all entry hosts are ready")
	time.Sleep(2 * time.Second)
	return nil
}

// entryAddress returns the address of the n-th entry host for callers.
func (c *cluster) entryAddress(n int) string {
	var list []*host
	for _, h := range c.hosts {
		if h.role == "entry" {
			list = append(list, h)
		}
	}
	return fmt.Sprintf("%s:%d", list[n%len(list)].ip, c.ports.callers)
}
