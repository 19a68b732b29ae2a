package ledger

import (
	"hash/fnv"

	"github.com/pistachioarch/pistachioarch/core/historypb"
)

// DigestPage returns the digests of the slot's programs whose names are greater than
// after, in ascending order of names, at most limit of them, and whether there are more.
func (l *Ledger) DigestPage(slot uint32, after string, limit int) (page []*historypb.Digest, more bool) {
	names := l.programNamesAfter(slot, after)
	for _, name := range names[:min(limit, len(names))] {
		page = append(page, &historypb.Digest{Program: name, Digest: l.Digest(name)})
	}
	return page, len(names) > limit
}

// Digest returns a hash of all records of a program, 0 if the program is not known. It
// does not depend on the order in which the records were applied, nor on the turns' runs.
func (l *Ledger) Digest(name string) uint64 {
	p := l.programs[name]
	if p == nil {
		return 0
	}
	sum := mix(uint64(p.expiresMs))
	for turn, s := range p.spendings {
		state := uint64(1)
		if s.settled {
			state = 2
		}
		if s.softwareVersion != "" {
			sum += mix(hashString(turn) ^ hashString(s.softwareVersion))
		}
		sum += mix(hashString(turn) ^ mix(uint64(s.tokens)<<2|state))
	}
	for turn := range p.turnIDs {
		sum += mix(hashString(turn) + 3)
	}
	for request, runs := range p.brokenRuns {
		sum += runs.digest(request)
	}
	return sum
}

func hashString(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// mix is the finalizer of SplitMix64. It spreads every bit over the whole word, so that
// the summands of a digest do not cancel out.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
