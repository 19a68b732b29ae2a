package rpc

import "sync"

// Pool keeps one Client for each address. Safe for concurrent use.
type Pool struct {
	dialer Dialer

	mu      sync.Mutex
	clients map[string]*Client
}

// NewPool returns an empty pool.
func NewPool(dialer Dialer) *Pool {
	return &Pool{dialer: dialer, clients: map[string]*Client{}}
}

// Client returns the client of the member at address.
func (p *Pool) Client(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		c = NewClient(address, p.dialer)
		p.clients[address] = c
	}
	return c
}

// Keep closes the clients of all other addresses.
func (p *Pool) Keep(addresses map[string]bool) {
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
func (p *Pool) Close() { p.Keep(nil) }
