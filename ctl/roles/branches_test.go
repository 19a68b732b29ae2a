package roles

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/ctl/standin"
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

const (
	// branchCase is the name by which ROLES_CASE selects runBranches, branchSeeds the number of seeds it
	// runs with, from the seed of the crash cases on.
	branchCase, branchSeeds = "programs that go on from turns of others", 2
	// branchLines is the number of lines of turns that start, maxBranchLines the number with those
	// that branch off.
	branchLines, maxBranchLines = 6, 14
	// branchDuration is several times as long as the history of a program without new turns is stored.
	branchDuration = 60 * time.Second
	// branchFaults is the number of faults that are injected meanwhile.
	branchFaults = 4
	// newProgramShare is the share of turns that begin a new program, of which branchShare begin a
	// new line; returnShare is the share of turns with which a line returns to an earlier program.
	newProgramShare, branchShare, returnShare = 0.4, 0.3, 0.1
)

// branchTurn is an answered turn: its prompt with its output is what the next turn's prompt begins with.
type branchTurn struct {
	id, content string
	answeredAt  time.Time
}

// branches are lines of turns that go on in new programs.
type branches struct {
	caller *caller
	end    time.Time
	lines  sync.WaitGroup

	mu           sync.Mutex
	lineCount    int
	programCount int
	// prompts holds the prompt that each sent turn must be run with, by request ID.
	prompts map[string]string
	// lost are the turns that were denied although their previous turn was still to be kept.
	lost   []string
	served int
}

// branchOutcome is the result of lines of turns that go on in new programs.
type branchOutcome struct {
	lost, wrongPrompts []string
	served, lineCount  int
	programCount       int
}

// runBranches runs lines of turns over many programs while hosts of a cluster fail one after the other.
func runBranches(c *cluster, seed uint64) *branchOutcome {
	defer c.close()
	k := newCaller(c)
	defer k.client.CloseIdleConnections()
	b := &branches{caller: k, end: time.Now().Add(branchDuration), prompts: map[string]string{}}
	for range branchLines {
		b.startLine(seed, branchTurn{})
	}
	c.injectBranchFaults(rand.New(rand.NewPCG(seed, 7)))
	b.lines.Wait()
	o := &branchOutcome{lost: b.lost, served: b.served, lineCount: b.lineCount, programCount: b.programCount}
	for _, run := range c.engineRuns() {
		if want := b.prompts[run.ID]; run.Body != want {
			o.wrongPrompts = append(o.wrongPrompts, fmt.Sprintf("%s ran with %q, not with %q", run.ID, run.Body, want))
		}
	}
	return o
}

// engineRuns returns the requests that the engines ran.
func (c *cluster) engineRuns() []standin.Run {
	var runs []standin.Run
	for _, e := range c.engines {
		runs = append(runs, e.Runs()...)
	}
	return runs
}

// startLine starts a line that continues a turn, unless there are enough lines.
func (b *branches) startLine(seed uint64, from branchTurn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lineCount == maxBranchLines {
		return
	}
	b.lineCount++
	random := rand.New(rand.NewPCG(seed, uint64(100+b.lineCount)))
	b.lines.Go(func() { b.runLine(seed, random, from) })
}

// newProgram returns the name of a new program.
func (b *branches) newProgram() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.programCount++
	return fmt.Sprintf("branch%d", b.programCount)
}

// runLine sends turns, each of which continues the one before within its retention.
func (b *branches) runLine(seed uint64, random *rand.Rand, previous branchTurn) {
	programs := []string{b.newProgram()}
	for time.Now().Before(b.end) {
		program := programs[len(programs)-1]
		switch draw := random.Float64(); {
		case draw < newProgramShare:
			program = b.newProgram()
			programs = append(programs, program)
			if random.Float64() < branchShare {
				b.startLine(seed, previous)
			}
		case draw < newProgramShare+returnShare:
			program = programs[random.IntN(len(programs))]
		}
		next, ok := b.runTurn(program, random, previous)
		if !ok {
			return
		}
		previous = next
		time.Sleep(time.Duration(random.Int64N(int64(retention - time.Second))))
	}
}

// runTurn sends a turn until it is answered. It reports false if it is denied or never answered; the
// latter is allowed while hosts are down.
func (b *branches) runTurn(program string, random *rand.Rand, previous branchTurn) (branchTurn, bool) {
	input := fmt.Sprintf("%s-%d;", program, random.IntN(1000))
	for range maxAttempts {
		prompt := previous.content + input
		a := b.caller.sendTurn(program, input, random.IntN(4), previous.id)
		b.mu.Lock()
		b.prompts[a.ID] = prompt
		b.mu.Unlock()
		switch {
		case a.Status == http.StatusOK && a.Complete:
			b.mu.Lock()
			b.served++
			b.mu.Unlock()
			return branchTurn{id: a.ID, content: prompt + outputOf(a.Answer), answeredAt: time.Now()}, true
		case a.Status == http.StatusNotFound || a.Status == http.StatusGone:
			b.recordDenied(a, previous)
			return branchTurn{}, false
		}
		time.Sleep(250 * time.Millisecond)
	}
	return branchTurn{}, false
}

// recordDenied records a turn that was denied, unless the retention of its previous turn had ended.
func (b *branches) recordDenied(a attempt, previous branchTurn) {
	age := a.SentAt.Sub(previous.answeredAt)
	if previous.id != "" && age > retention {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lost = append(b.lost, fmt.Sprintf("%s of %s: status %d, previous turn %s answered %v before", a.ID, a.Program, a.Status, previous.id, age))
}

// sendTurn sends one turn once.
func (k *caller) sendTurn(program, input string, entryIndex int, previous string) attempt {
	return k.send(program, "/turn/", input, entryIndex, map[string]string{
		ownheaders.Previous: previous, ownheaders.Budget: strconv.Itoa(budget), ownheaders.MaxTokens: strconv.Itoa(maxTokens),
	})
}

// outputOf returns what a streamed answer adds to the prompts of later turns.
func outputOf(answer string) string {
	var output strings.Builder
	for line := range strings.Lines(answer) {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			output.WriteString(data)
		}
	}
	return output.String()
}

// injectBranchFaults injects faults one after the other, each healed before the next.
func (c *cluster) injectBranchFaults(random *rand.Rand) {
	for range branchFaults {
		wait(time.Duration(random.Int64N(int64(branchDuration / branchFaults / 2))))
		i := random.IntN(len(c.historyHosts))
		switch random.IntN(5) {
		case 0:
			h := c.killHistoryHost(i)
			wait(time.Duration(1+random.IntN(4)) * time.Second)
			c.restartHistoryHost(h)
		case 1:
			c.net.SetFrozen(c.historyHosts[i].ip, true)
			wait(time.Duration(1+random.IntN(4)) * time.Second)
			c.net.SetFrozen(c.historyHosts[i].ip, false)
		case 2:
			for i := range c.historyHosts {
				c.killHistoryHost(i)
			}
			wait(800 * time.Millisecond)
			for _, h := range c.historyHosts {
				c.restartHistoryHost(h)
			}
		case 3:
			h := c.killHistoryHost(i)
			c.startHistoryHost(&historyHost{name: h.name, ip: h.ip, dir: c.t.TempDir()})
			wait(4 * time.Second) // within which a lost disk is restored
		case 4:
			e := c.killEntryHost(i)
			wait(time.Second)
			c.startEntryHost(&entryHost{name: e.name, ip: e.ip})
		}
	}
}

// A turn that was answered whole must be found with its whole chain for its retention, although the
// programs that stored the chain's earlier turns have expired.
func TestChainOutlivesProgramsThatStoredIt(t *testing.T) {
	runAllCases(t)
	for name, o := range branchOutcomes {
		require.Empty(t, o.lost, name)
		require.Empty(t, o.wrongPrompts, name)
		require.Greater(t, o.served, branchLines*10, name)
		require.Greater(t, o.programCount, o.lineCount, name)
	}
}
