package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/dghubble/sling"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// inspectCommand shows the state or metrics of entry and history roles.
type inspectCommand struct {
	app     *app
	Metrics bool `long:"metrics" description:"print the metrics instead of the state"`
}

// maxStateBytes bounds one response: 3,100 targets take about 1 MB.
const maxStateBytes = 16 << 20

// roleState holds the fields of both roles' states that the table shows. The role follows from the
// fields that are present.
type roleState struct {
	Ready         *bool           `json:"ready"`
	ConfigVersion *uint64         `json:"config_version"`
	Active        *int            `json:"requests_active"`
	History       json.RawMessage `json:"history"`
	Member        string          `json:"member"`
	Epoch         uint64          `json:"epoch"`
	SlotsActive   int             `json:"slots_active"`
	SlotsJoining  int             `json:"slots_joining"`
	Programs      int             `json:"programs"`
}

// historyState is an entry host's view of the history hosts.
type historyState struct {
	Epoch           uint64 `json:"epoch"`
	UnservableSlots int    `json:"unservable_slots"`
}

// Execute implements flags.Commander.
func (c *inspectCommand) Execute([]string) error {
	hosts, err := c.app.operatorHosts()
	if err != nil {
		return err
	}
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	if c.Metrics {
		return c.metrics(ctx, hosts)
	}
	states := map[string]json.RawMessage{}
	var rows []string
	for _, h := range hosts {
		text, err := c.get(ctx, h, "state")
		if err != nil {
			return err
		}
		line, err := stateRow(h, text)
		if err != nil {
			return err
		}
		states[h], rows = text, append(rows, line)
	}
	return c.app.print(states, "HOST\tROLE\tSLOT MAP\tSTATE", rows)
}

func (c *inspectCommand) metrics(ctx context.Context, hosts []string) error {
	for _, h := range hosts {
		text, err := c.get(ctx, h, "metrics")
		if err != nil {
			return err
		}
		fmt.Fprintf(c.app.out, "# %s\n%s", h, text)
	}
	return nil
}

// get returns the response body for one path of a role's metrics address.
func (c *inspectCommand) get(ctx context.Context, host, path string) ([]byte, error) {
	req, err := sling.New().Base("http://" + host + "/").Get(path).Request()
	if err != nil {
		return nil, failure.Wrap(err, failure.Usage, "host %s", host)
	}
	resp, err := c.app.http.Do(req.WithContext(ctx))
	if err != nil {
		return nil, failure.Wrap(err, failure.PeerUnavailable, "host %s", host)
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read or is not needed
	if resp.StatusCode != http.StatusOK {
		return nil, failure.New(failure.PeerUnavailable, "host %s: %s", host, resp.Status)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxStateBytes))
	return text, failure.Wrap(err, failure.PeerUnavailable, "host %s", host)
}

// stateRow returns a host's row of the table.
func stateRow(host string, text []byte) (string, error) {
	var s roleState
	if err := json.Unmarshal(text, &s); err != nil {
		return "", failure.Wrap(err, failure.BadAnswer, "state of %s", host)
	}
	if s.Member != "" {
		return row(host, "history", s.Epoch, fmt.Sprintf("%d slots, %d joining, %d programs", s.SlotsActive, s.SlotsJoining, s.Programs)), nil
	}
	if s.Ready == nil || s.ConfigVersion == nil || s.Active == nil {
		return "", failure.New(failure.BadAnswer, "response of %s is not the state of an entry or history role", host)
	}
	var history historyState
	if err := json.Unmarshal(s.History, &history); err != nil {
		return "", failure.Wrap(err, failure.BadAnswer, "state of %s", host)
	}
	ready := "ready"
	if !*s.Ready {
		ready = "not ready"
	}
	return row(host, "entry", history.Epoch, fmt.Sprintf("%s, configuration %d, %d requests, %d unservable slots",
		ready, *s.ConfigVersion, *s.Active, history.UnservableSlots)), nil
}
