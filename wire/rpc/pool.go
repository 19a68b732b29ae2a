package rpc

import (
	"sync"
	"time"
)

// Pool holds one Client per address. Safe for concurrent use.
type Pool struct {
	dialer Dialer
	// SilenceTimeout is how long a member may send nothing while calls wait for it before
	// its connection is closed. It must be set before the first use.
	SilenceTimeout time.Duration
	// TrafficOf returns the counters for the calls to an address. It may be nil and must be
	// set before the first use.
	TrafficOf func(address string) *Traffic

	mu      sync.Mutex
	clients map[string]*Client
}

// NewPool returns an empty pool.
func NewPool(dialer Dialer) *Pool {
	return &Pool{dialer: dialer, SilenceTimeout: defaultSilenceTimeout, clients: map[string]*Client{}}
}

// Client returns the client of the member at address.
func (p *Pool) Client(address string) *Client {
	p.mu.Lock()
	c := p.clients[address]
	p.mu.Unlock()
	if c != nil {
		return c
	}
	return p.add(address)
}

func (p *Pool) add(address string) *Client {
	c := NewClient(address, p.dialer)
	c.silenceTimeout = p.SilenceTimeout
	if p.TrafficOf != nil {
		c.traffic = p.TrafficOf(address) // without p.mu: it may wait for a caller of CloseExcept
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.clients[address]; old != nil {
		return old
	}
	p.clients[address] = c
	return c
}

// CloseIdle closes the connections that had no call for the duration idle.
func (p *Pool) CloseIdle(idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.CloseIdle(idle)
	}
}

// CloseExcept closes and removes the clients of all addresses that are not in addresses.
func (p *Pool) CloseExcept(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.clients {
		if !addresses[address] {
			c.Close()
			delete(p.clients, address)
		}
	}
}

// Close closes all clients.
func (p *Pool) Close() { p.CloseExcept(nil) }
