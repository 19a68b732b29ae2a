package routing

import (
	"crypto/sha256"
	"slices"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// KeyDigest is the SHA-256 digest of a caller's key. Keys themselves are never stored, so
// no log line or dump can show one, and the duration of a lookup reveals nothing about the
// existing keys.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Customer is one customer declared by the operators.
type Customer struct {
	Name string
	// Keys are the digests of the keys by which callers authenticate as the customer.
	Keys []KeyDigest
	// Priority overrides the priority of the route if HasPriority; 0 is the most urgent.
	Priority    int
	HasPriority bool
	// Quota is the limit on the customer's requests.
	Quota Quota
	// Regions restricts where requests may be served and turns stored, in addition to the
	// regions of the route.
	Regions Regions
}

// Quota limits the requests of a customer over all hosts together.
type Quota struct {
	// Rate is in requests per second; 0 means no quota.
	Rate float64
	// Burst is the maximum number of requests that may arrive at the same time.
	Burst float64
}

// Limited reports whether there is a quota.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Customers is an immutable index of customers by key.
type Customers struct {
	byKey map[KeyDigest]*Customer
	names []string
}

// NewCustomers returns an index of the customers. It fails with InvalidDeclaration if a name
// is missing or used twice, if two customers have the same key, or if a quota is negative.
func NewCustomers(list []*Customer) (*Customers, error) {
	c := &Customers{byKey: map[KeyDigest]*Customer{}}
	for _, customer := range list {
		if customer.Name == "" || slices.Contains(c.names, customer.Name) {
			return nil, failure.New(failure.InvalidDeclaration, "customer name is missing or used twice: %q", customer.Name)
		}
		if customer.Quota.Rate < 0 || customer.Quota.Burst < 0 {
			return nil, failure.New(failure.InvalidDeclaration, "customer %s has a negative quota", customer.Name)
		}
		c.names = append(c.names, customer.Name)
		for _, key := range customer.Keys {
			if owner := c.byKey[key]; owner != nil && owner != customer {
				return nil, failure.New(failure.InvalidDeclaration, "customers %s and %s have the same key", owner.Name, customer.Name)
			}
			c.byKey[key] = customer
		}
	}
	return c, nil
}

// ByKey returns the customer with the given key.
func (c *Customers) ByKey(key KeyDigest) (*Customer, bool) {
	customer, ok := c.byKey[key]
	return customer, ok
}

// Names returns the names of all customers.
func (c *Customers) Names() []string { return c.names }
