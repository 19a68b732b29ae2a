package command

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/sched"
	"github.com/pistachioarch/pistachioarch/ctl/replay"
)

type replayCommand struct {
	playOptions
	app      *app
	Trace    string `long:"trace" value-name:"FILE.jsonl" description:"trace to replay; FILE.want.json next to it states the expected outcome"`
	Policy   string `long:"policy" default:"default" description:"default, round_robin, least_loaded, sticky_fcfs, or all"`
	Seed     uint64 `long:"seed" default:"1" description:"seed of the random choices"`
	Plot     string `long:"plot" value-name:"FILE.png" description:"plot the results"`
	Generate string `long:"generate" value-name:"DIR" description:"write the users' traces to a directory and exit"`
}

// Execute implements flags.Commander.
func (c *replayCommand) Execute([]string) error {
	if c.Generate != "" {
		return c.generate()
	}
	if c.Pattern != "" {
		return c.play()
	}
	if c.Trace == "" {
		return failure.New(failure.Usage, "--trace or --pattern is needed")
	}
	t, expected, err := readTrace(c.Trace)
	if err != nil {
		return err
	}
	policies := []string{c.Policy}
	if c.Policy == "all" {
		policies = sched.Policies()
	}
	var results []*replay.Result
	for i, p := range policies {
		c.app.progress("%s under %s (%d of %d)", t.Header.Trace, p, i+1, len(policies))
		r, err := replay.Run(t, p, c.Seed)
		if err != nil {
			c.app.endProgress()
			return err
		}
		results = append(results, r)
	}
	c.app.endProgress()
	if c.Plot != "" {
		if err := replay.Plot(results, c.Plot); err != nil {
			return err
		}
	}
	return c.print(results, expected)
}

// print writes one JSON object per policy, or a table. It checks the result of the default policy
// against the expected outcome; if several policies ran, the others are baselines and not checked.
func (c *replayCommand) print(results []*replay.Result, expected *replay.ExpectedOutcome) error {
	if c.app.globals.Output == "json" {
		e := json.NewEncoder(c.app.out)
		for _, r := range results {
			if err := e.Encode(r); err != nil {
				return failure.Wrap(err, failure.Internal, "output")
			}
		}
	} else if err := c.printTable(results); err != nil {
		return err
	}
	if expected == nil {
		return nil
	}
	for _, r := range results {
		if len(results) > 1 && r.Policy != sched.PolicyDefault {
			continue
		}
		if err := expected.Check(r); err != nil {
			return &outcomeError{code: ExitOutcome, err: err}
		}
	}
	return nil
}

func (c *replayCommand) printTable(results []*replay.Result) error {
	var rows []string
	for _, r := range results {
		rows = append(rows, row(r.Trace, r.Policy, fmt.Sprintf("%.0f", r.Latency.P50), fmt.Sprintf("%.0f", r.Latency.P95),
			fmt.Sprintf("%.0f", r.Latency.P99), fmt.Sprintf("%.0f", r.Latency.Max), r.WastedCacheTokens, r.Completed, r.NotRun, r.Unknown, r.Violations))
	}
	return c.app.print(results, "TRACE\tPOLICY\tP50 MS\tP95 MS\tP99 MS\tMAX MS\tWASTED\tCOMPLETED\tNOT RUN\tUNKNOWN\tVIOLATIONS", rows)
}

func readTrace(path string) (*replay.Trace, *replay.ExpectedOutcome, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, nil, failure.Wrap(err, failure.Usage, "trace")
	}
	defer func() { _ = f.Close() }() // opened for reading only
	t, err := replay.Read(f)
	if err != nil {
		return nil, nil, err
	}
	body, err := os.ReadFile(strings.TrimSuffix(path, ".jsonl") + ".want.json")
	if os.IsNotExist(err) {
		return t, nil, nil
	}
	expected := &replay.ExpectedOutcome{}
	if err == nil {
		err = json.Unmarshal(body, expected)
	}
	return t, expected, failure.Wrap(err, failure.Usage, "expected outcome")
}

func (c *replayCommand) generate() error {
	for _, w := range replay.Workloads(c.Seed) {
		path := filepath.Join(c.Generate, w.Name+".jsonl")
		f, err := os.Create(path)
		if err != nil {
			return failure.Wrap(err, failure.Usage, "trace")
		}
		if err := w.Generate(f); err != nil {
			return err
		}
		if err := f.Close(); err != nil {
			return failure.Wrap(err, failure.Usage, "trace")
		}
	}
	return nil
}
