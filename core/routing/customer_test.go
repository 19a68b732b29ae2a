package routing

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

func TestNewCustomersRejectsInvalidDeclarations(t *testing.T) {
	k := DigestKey("k")
	for name, list := range map[string][]*Customer{
		"shared key":     {{Name: "a", Keys: []KeyDigest{k}}, {Name: "b", Keys: []KeyDigest{k}}},
		"duplicate name": {{Name: "a"}, {Name: "a"}},
		"missing name":   {{}},
		"negative rate":  {{Name: "a", Quota: Quota{Rate: -1}}},
		"negative burst": {{Name: "a", Quota: Quota{Burst: -1}}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := NewCustomers(list)
			require.True(t, failure.Is(err, failure.InvalidDeclaration), "%v", err)
		})
	}
}

func TestCustomerIsFoundByAnyOfItsKeys(t *testing.T) {
	a := &Customer{Name: "a", Keys: []KeyDigest{DigestKey("1"), DigestKey("2"), DigestKey("1")}}
	c, err := NewCustomers([]*Customer{a, {Name: "b"}})
	require.NoError(t, err)
	for _, key := range []string{"1", "2"} {
		got, known := c.ByKey(DigestKey(key))
		require.True(t, known)
		require.Same(t, a, got)
	}
	_, known := c.ByKey(DigestKey(""))
	require.False(t, known)
}
