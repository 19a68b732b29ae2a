package entry

import (
	"slices"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/request"
)

// Where the turns of a program ran is kept beside its budget, because half of all turns come
// through another host than the turn before (69 entry hosts), which cannot know it: of the
// tokens that engines read at twice the usual load, 0.62 were of such turns at engines that
// did not have the program.

// mostParts bounds the parts that history hosts are asked for: the turn before ended with
// one of the last of them.
const mostParts = 4

// ownParts are the last parts of the prompt but for the first, which programs share.
func (x *exchange) ownParts() []string {
	prefix := x.call.Prefix
	if len(prefix) < 2 {
		return nil
	}
	var ids []string
	for _, p := range prefix[max(1, len(prefix)-mostParts):] {
		ids = append(ids, p.ID)
	}
	return ids
}

// ran says where the turn ran, nil if it did not.
func (t *turn) ran() *historypb.Ran {
	prefix := t.x.call.Prefix
	if t.events == 0 || len(prefix) == 0 {
		return nil
	}
	return &historypb.Ran{
		Target: t.x.target, Born: t.x.born, Part: prefix[len(prefix)-1].ID, Prompt: t.x.call.PromptTokens,
	}
}

// learn takes from history hosts which targets have read the beginning of the prompt.
func (x *exchange) learn(ran []*historypb.Ran) {
	h := x.host
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range ran {
		last := slices.IndexFunc(x.call.Prefix, func(p request.Part) bool { return p.ID == r.Part })
		if t, ok := h.registry.Started(r.Target, r.Born); ok && last >= 0 {
			t.HasRead(x.call.Prefix[:last+1], h.now())
		}
	}
}
