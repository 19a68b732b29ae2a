package rpc

import (
	"sync"
	"time"
)

// Pool keeps one Client for each address. Safe for concurrent use.
type Pool struct {
	dialer Dialer
	// SilenceTimeout is how long a member may be silent while calls wait for it; it is set before the
	// first use.
	SilenceTimeout time.Duration
	// TrafficOf returns what counts the bytes of the calls to an address; it may be nil, and
	// is set before the first use.
	TrafficOf func(address string) *Traffic

	mu      sync.Mutex
	clients map[string]*Client
}

// NewPool returns an empty pool.
func NewPool(dialer Dialer) *Pool {
	return &Pool{dialer: dialer, SilenceTimeout: silenceLimit, clients: map[string]*Client{}}
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
	c.silence = p.SilenceTimeout
	if p.TrafficOf != nil {
		c.traffic = p.TrafficOf(address) // without mu: it may wait for who calls Keep
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.clients[address]; old != nil {
		return old
	}
	p.clients[address] = c
	return c
}

// Tidy closes the connections on which there was no call for idle.
func (p *Pool) Tidy(idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Tidy(idle)
	}
}

// CloseExcept closes the clients of all other addresses.
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
