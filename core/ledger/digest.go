package ledger

import (
	"hash/fnv"

	"github.com/pistachioarch/pistachioarch/core/historypb"
)

// Digests returns the digests of the slot's programs whose names follow after, in
// order of name, at most limit of them, and whether there are more.
func (l *Ledger) DigestPage(slot uint32, after string, limit int) (page []*historypb.Digest, more bool) {
	names := l.namesAfter(slot, after)
	for _, name := range names[:min(limit, len(names))] {
		page = append(page, &historypb.Digest{Program: name, Digest: l.Digest(name)})
	}
	return page, len(names) > limit
}

// Digest sums up all records of a program; 0 if it is not known. It does not depend
// on the order in which the records came.
func (l *Ledger) Digest(name string) uint64 {
	p := l.programs[name]
	if p == nil {
		return 0
	}
	sum := mix(uint64(p.expires))
	for turn, s := range p.spent {
		kind := uint64(1)
		if s.settled {
			kind = 2
		}
		sum += mix(hashOf(turn) ^ mix(uint64(s.tokens)<<2|kind))
	}
	for turn := range p.turns {
		sum += mix(hashOf(turn) + 3)
	}
	return sum
}

func hashOf(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// mix spreads every bit over the whole word (the finalizer of SplitMix64), so that
// sums of it do not cancel out.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
