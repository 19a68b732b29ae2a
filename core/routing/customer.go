package routing

import (
	"crypto/sha256"
	"slices"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// KeyDigest is the SHA-256 digest of a caller's key. Keys themselves are held nowhere, so
// that no log line or dump can show one, and the time that a look-up takes tells nothing
// of the keys that there are.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Customer is one customer that the operators declare.
type Customer struct {
	Name string
	// Keys are the keys by which callers show that they are the customer's.
	Keys []KeyDigest
	// Priority goes before that of the route if HasPriority; 0 is the most urgent.
	Priority    int
	HasPriority bool
	Quota       Quota
	// Regions is where requests may be served and turns kept, beside the route's.
	Regions Regions
}

// Quota bounds the requests of a customer over all hosts together.
type Quota struct {
	// Rate is in requests a second; 0 means that there is no quota.
	Rate float64
	// Burst is how many requests may come at once.
	Burst float64
}

// Limited reports whether there is a quota.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Customers finds customers by their keys. It is immutable.
type Customers struct {
	byKey map[KeyDigest]*Customer
	names []string
}

// NewCustomers returns the customers, or an InvalidDeclaration failure where a name or a
// key is held twice or a quota is below zero.
func NewCustomers(list []*Customer) (*Customers, error) {
	c := &Customers{byKey: map[KeyDigest]*Customer{}}
	for _, x := range list {
		if x.Name == "" || slices.Contains(c.names, x.Name) {
			return nil, failure.New(failure.InvalidDeclaration, "a customer's name is missing or given twice: %q", x.Name)
		}
		if x.Quota.Rate < 0 || x.Quota.Burst < 0 {
			return nil, failure.New(failure.InvalidDeclaration, "customer %s has a quota below zero", x.Name)
		}
		c.names = append(c.names, x.Name)
		for _, key := range x.Keys {
			if holder := c.byKey[key]; holder != nil && holder != x {
				return nil, failure.New(failure.InvalidDeclaration, "customers %s and %s hold the same key", holder.Name, x.Name)
			}
			c.byKey[key] = x
		}
	}
	return c, nil
}

// ByKey returns the customer that holds a key.
func (c *Customers) ByKey(key KeyDigest) (*Customer, bool) {
	x, ok := c.byKey[key]
	return x, ok
}

// Names returns the names of all customers.
func (c *Customers) Names() []string { return c.names }
