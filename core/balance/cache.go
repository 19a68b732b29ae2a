package balance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/request"
)

// maxCacheEntries bounds the prompt parts remembered per engine. It is more than the memory of a
// large engine holds.
const maxCacheEntries = 1024

// prefixCache models which parts of prompts an engine has prefilled recently.
type prefixCache struct {
	lastUsed map[string]time.Duration
}

func newPrefixCache() prefixCache { return prefixCache{lastUsed: map[string]time.Duration{}} }

// add records that the engine prefills these parts.
func (c *prefixCache) add(parts []request.Part, now time.Duration) {
	for _, p := range parts {
		c.lastUsed[p.ID] = now
	}
	if len(c.lastUsed) > maxCacheEntries {
		c.evict()
	}
}

// evict removes the least recently used half, so that its cost is amortized over many adds.
func (c *prefixCache) evict() {
	ids := slices.SortedFunc(maps.Keys(c.lastUsed), func(a, b string) int {
		return cmp.Or(cmp.Compare(c.lastUsed[a], c.lastUsed[b]), cmp.Compare(a, b))
	})
	for _, id := range ids[:len(ids)/2] {
		delete(c.lastUsed, id)
	}
}

// cachedTokens returns the number of tokens at the start of the prompt that the engine has: a
// part counts only if all parts before it are cached.
func (c *prefixCache) cachedTokens(parts []request.Part) int64 {
	total := int64(0)
	for _, p := range parts {
		if _, ok := c.lastUsed[p.ID]; !ok {
			break
		}
		total += int64(p.Tokens)
	}
	return total
}
