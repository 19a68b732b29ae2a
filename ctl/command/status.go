package command

import (
	"encoding/json"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/daemon/node"
)

type statusCommand struct{ app *app }

// hostStatus is the status of one host, or the error of the request for it.
type hostStatus struct {
	Host   string      `json:"host"`
	Status node.Status `json:"status"`
	Error  string      `json:"error,omitempty"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	hosts, err := c.app.operatorHosts()
	if err != nil {
		return err
	}
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	var all []hostStatus
	var rows []string
	unreachable := 0
	for _, h := range hosts {
		s := hostStatus{Host: h}
		if err := c.app.operatorClient(h).Operate(ctx, "GET", "v1/status", &s.Status); err != nil {
			s.Error = failure.From(err).Error()
			unreachable++
		}
		all = append(all, s)
		rows = append(rows, row(h, s.Status.Member, s.Status.DataCentre, s.Status.MayServe, s.Status.PlatformReachable,
			s.Status.ConfigVersion, s.Status.Slots, s.Status.Programs, s.Error))
	}
	if err := c.app.print(all, "HOST\tMEMBER\tDATA CENTRE\tSERVES\tPLATFORM\tCONFIG\tSLOTS\tPROGRAMS\tERROR", rows); err != nil {
		return err
	}
	if unreachable > 0 {
		return failure.New(failure.PeerUnavailable, "%d hosts do not answer", unreachable)
	}
	return nil
}

type dumpCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *dumpCommand) Execute([]string) error {
	hosts, err := c.app.operatorHosts()
	if err != nil {
		return err
	}
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	dumps := map[string]json.RawMessage{}
	for _, h := range hosts {
		var d json.RawMessage
		if err := c.app.operatorClient(h).Operate(ctx, "GET", "v1/dump", &d); err != nil {
			return err
		}
		dumps[h] = d
	}
	e := json.NewEncoder(c.app.out)
	e.SetIndent("", "  ")
	return failure.Wrap(e.Encode(dumps), failure.Internal, "output")
}

type drainCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	hosts, err := c.app.operatorHosts()
	if err != nil {
		return err
	}
	for _, h := range hosts {
		if err := c.drain(h); err != nil {
			return err
		}
	}
	return nil
}

// drain requests one host to drain and waits until it no longer answers.
func (c *drainCommand) drain(host string) error {
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	var st node.Status
	if err := c.app.operatorClient(host).Operate(ctx, "POST", "v1/drain", &st); err != nil {
		return err
	}
	defer c.app.endProgress()
	for {
		if c.app.operatorClient(host).Operate(ctx, "GET", "v1/status", &st) != nil && ctx.Err() == nil {
			return c.app.print(map[string]string{"stopped": host}, "STOPPED", []string{host})
		}
		c.app.progress("%s: %d slots, %d programs left", host, st.Slots, st.Programs)
		select {
		case <-time.After(statusPollInterval):
		case <-ctx.Done():
			return outcomeMissed("%s still has %d slots; it continues to drain", host, st.Slots)
		}
	}
}
