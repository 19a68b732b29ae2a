package entry

import (
	"slices"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/request"
)

// Where the turns of a program ran is kept beside its budget, because with many hosts most turns
// come through another host than the turn before, which cannot know it; without it most of
// what engines read under load are prompts that another engine has read.

// mostParts bounds the parts that history hosts are asked for: the turn before ended with
// one of the last of them.
const maxLookupParts = 4

// ownParts are the last parts of the prompt but for the first, which programs share.
func (x *exchange) programPartIDs() []string {
	prefix := x.call.Prefix
	if len(prefix) < 2 {
		return nil
	}
	var ids []string
	for _, p := range prefix[max(1, len(prefix)-maxLookupParts):] {
		ids = append(ids, p.ID)
	}
	return ids
}

// ran says where the turn ran, nil if it did not.
func (t *turn) runRecord() *historypb.Ran {
	prefix := t.x.call.Prefix
	if t.events == 0 || len(prefix) == 0 {
		return nil
	}
	return &historypb.Ran{
		Target: t.x.target, Born: t.x.born, Part: prefix[len(prefix)-1].ID, Prompt: t.x.call.PromptTokens,
	}
}

// learn takes from history hosts which targets have read the beginning of the prompt.
func (x *exchange) markCached(records []*historypb.Ran) {
	h := x.host
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, record := range records {
		lastPart := slices.IndexFunc(x.call.Prefix, func(p request.Part) bool { return p.ID == record.Part })
		if t, ok := h.registry.TargetIncarnation(record.Target, record.Born); ok && lastPart >= 0 {
			t.MarkCached(x.call.Prefix[:lastPart+1], h.now())
		}
	}
}
