package command

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/quota"
)

// quotasCommand shows the parts of customers' quotas that history hosts hold.
type quotasCommand struct {
	app      *app
	Customer string `long:"customer" value-name:"NAME" description:"only this customer, with the part of each host"`
}

// partState is one host's part of a customer's quota.
type partState struct {
	Host string `json:"host"`
	quota.State
}

// Execute implements flags.Commander.
func (c *quotasCommand) Execute([]string) error {
	parts, err := c.read()
	if err != nil {
		return err
	}
	if c.Customer == "" {
		return c.app.print(parts, "CUSTOMER\tRATE\tBURST\tTOKENS\tGRANTED\tREFUSED\tHOSTS", sumRows(parts))
	}
	var rows []string
	for _, p := range parts[c.Customer] {
		rows = append(rows, row(p.Host, p.Version, p.Rate, p.Burst, p.Parts, roundToTenth(p.Tokens), p.Granted, p.Refused))
	}
	if len(rows) == 0 {
		return failure.New(failure.NotFound, "no host has been asked for tokens of %s", c.Customer)
	}
	return c.app.print(parts[c.Customer], "HOST\tCONFIGURATION\tRATE\tBURST\tPARTS\tTOKENS\tGRANTED\tREFUSED", rows)
}

// read returns the parts of all hosts, by customer.
func (c *quotasCommand) read() (map[string][]partState, error) {
	hosts, err := c.app.operatorHosts()
	if err != nil {
		return nil, err
	}
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	inspect := inspectCommand{app: c.app}
	parts := map[string][]partState{}
	for _, h := range hosts {
		text, err := inspect.get(ctx, h, "state")
		if err != nil {
			return nil, err
		}
		var s struct {
			Quotas []quota.State `json:"quotas"`
		}
		if err := json.Unmarshal(text, &s); err != nil {
			return nil, failure.Wrap(err, failure.BadAnswer, "state of %s", h)
		}
		for _, q := range s.Quotas {
			parts[q.Customer] = append(parts[q.Customer], partState{h, q})
		}
	}
	return parts, nil
}

// sumRows returns a row for each customer with sums over all hosts. Rate and burst are those of the
// host with the newest configuration.
func sumRows(parts map[string][]partState) []string {
	var rows []string
	for _, customer := range slices.Sorted(maps.Keys(parts)) {
		var tokens float64
		var granted, refused int64
		for _, p := range parts[customer] {
			tokens += p.Tokens
			granted += p.Granted
			refused += p.Refused
		}
		newest := slices.MaxFunc(parts[customer], func(a, b partState) int { return int(a.Version) - int(b.Version) })
		rows = append(rows, row(customer, newest.Rate, newest.Burst, roundToTenth(tokens), granted, refused, len(parts[customer])))
	}
	return rows
}

// roundToTenth rounds a non-negative number to one decimal.
func roundToTenth(x float64) float64 { return float64(int64(x*10+0.5)) / 10 }
