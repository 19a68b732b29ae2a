package replay

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/core/sched"
)

// failedSchedules are fault schedules, by name, with which TestRandomFaults failed before a
// bug in the code was fixed. The comment above each states the bug.
var failedSchedules = map[string]string{
	// The model of an engine continued the calls of a host that had died.
	"owner restarts while a target is frozen": `
{"at_ms":0,"fault":"target_freezes","target":"e1"}
{"at_ms":1812,"fault":"target_returns","target":"e1"}
{"at_ms":7,"fault":"host_dies","host":"h1"}
{"at_ms":57,"fault":"host_returns","host":"h1"}`,
	// A member of another data centre that had not read the newest slot table deleted the
	// journal of an incarnation that was still needed.
	"host restarts twice at once": `
{"at_ms":15,"fault":"host_dies","host":"h2"}
{"at_ms":66,"fault":"host_returns","host":"h2"}
{"at_ms":497,"fault":"host_dies","host":"h2"}
{"at_ms":554,"fault":"host_returns","host":"h2"}`,
	// A restarted owner did not know the member that holds the tail of its journal, which
	// was partitioned, and treated it as dead.
	"owner restarts while the holder of its journal tail is partitioned": `
{"at_ms":3,"fault":"data_centre_cut","data_centre":"a"}
{"at_ms":4872,"fault":"data_centre_heals","data_centre":"a"}
{"at_ms":5,"fault":"host_dies","host":"h2"}
{"at_ms":55,"fault":"host_returns","host":"h2"}
{"at_ms":49,"fault":"platform_down"}
{"at_ms":99,"fault":"platform_up"}`,
}

// twoHosts is the header of a trace with two hosts and two engines.
const twoHosts = `{"trace":"t","link_ms":1.5,"client_ms":1,"services":[{"name":"s","objective":"latency"}],
"hosts":[{"name":"h1","data_centre":"a"},{"name":"h2","data_centre":"b"}],
"targets":[{"name":"e1","service":"s","data_centre":"a","batch":2,"cache_tokens":2000,"prefill_ms":0.05,"decode_ms":5},{"name":"e2","service":"s","data_centre":"b","batch":2,"cache_tokens":2000,"prefill_ms":0.05,"decode_ms":5}]}`

// TestFailedFaultSchedules replays failedSchedules: none may have a violation or a
// call that did not run.
func TestFailedFaultSchedules(t *testing.T) {
	for name, faults := range failedSchedules {
		text := strings.ReplaceAll(twoHosts, "\n", "") + "\n"
		for i := range 8 {
			dc := map[bool]string{true: "b", false: "a"}[i%4 != 0]
			for j := range 3 {
				text += fmt.Sprintf(`{"at_ms":%d,"program":"p%d","caller":"c","data_centre":"%s","service":"s","sequence":%d,"prompt_tokens":50,"output_tokens":40,"pause_ms":500,"last":%v}`+"\n",
					i/2*150, i, dc, j, j == 2)
			}
		}
		trace, err := Read(strings.NewReader(text + strings.TrimSpace(faults)))
		require.NoError(t, err, name)
		r, err := RunWithConfig(trace, sched.PolicyDefault, 1, host.Config{Slots: 8})
		require.NoError(t, err, name)
		assert.Zero(t, r.Violations, "%s: %v", name, r.ViolationTexts)
		assert.Zero(t, r.NotRun, "%s: %v", name, r.FailureTexts)
	}
}
