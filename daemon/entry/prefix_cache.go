package entry

import (
	"slices"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/request"
)

// Run records, of where the turns of a program ran, are stored with its budget. With many entry
// hosts, most turns arrive at another host than the previous turn did, and that host cannot know
// where the previous turn ran. Without the records, most of the tokens that engines prefill under
// load are of prompts that another engine has cached.

// maxLookupParts bounds the prompt parts that history hosts look up: the previous turn ended
// with one of the last parts.
const maxLookupParts = 4

// programPartIDs returns the IDs of the last parts of the prompt, without the first part, which
// programs share.
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

// runRecord returns the record of where the turn ran, nil if it did not run.
func (t *turn) runRecord() *historypb.Ran {
	prefix := t.x.call.Prefix
	if t.eventCount == 0 || len(prefix) == 0 {
		return nil
	}
	return &historypb.Ran{
		Target: t.x.targetID, Born: t.x.targetStartedAtMs, Part: prefix[len(prefix)-1].ID, Prompt: t.x.call.PromptTokens,
	}
}

// markCached marks in the registry which targets have the beginning of the prompt cached, by
// the run records of the program.
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
