package entry

import (
	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/core/routing"
)

// authorise finds the customer that the caller's key belongs to, in the newest
// configuration. It is called before each send, so that a key that was taken away is used
// by no repeat either.
func (x *exchange) authorise() error {
	t := x.host.table.Load()
	if !t.RequiresKey() || x.route.Public {
		return nil
	}
	if stale := x.host.staleFor(); stale > 0 {
		return failure.Retry(failure.StaleConfiguration, x.host.staleRetryDelay(stale), "the configuration was confirmed %d ms ago", x.host.confirmedAge().Milliseconds())
	}
	customer, known := t.Customers().ByKey(routing.DigestKey(x.call.CustomerKey))
	if known && (x.customer == nil || x.customer.Name == customer.Name) {
		x.customer, x.customerVersion = customer, t.Version
		return nil
	}
	if age := x.host.confirmedAge(); x.host.KeyRules.UnknownKeyMaxAge > 0 && age > x.host.KeyRules.UnknownKeyMaxAge {
		return failure.Retry(failure.StaleConfiguration, retryLater, "unknown key, the configuration was confirmed %d ms ago", age.Milliseconds())
	}
	return failure.New(failure.Unauthorized, "unknown key in version %d", t.Version)
}

// customerName is the caller's customer, empty where there is none.
func (x *exchange) customerName() string {
	if x.customer == nil {
		return ""
	}
	return x.customer.Name
}

// regions is where the request may be served and its turn kept, by its route and its customer.
func (x *exchange) regions() routing.Regions {
	if x.customer == nil {
		return x.route.Regions
	}
	return x.route.Regions.Intersect(x.customer.Regions)
}

// dataCentres is those of the regions. One whose region the settings do not name is in none.
func (x *exchange) dataCentres() balance.DataCentreSet {
	regions := x.regions()
	if regions.Unrestricted() {
		return nil
	}
	in := balance.DataCentreSet{}
	for dataCentre, region := range x.host.Regions {
		in[dataCentre] = regions.Allows(region)
	}
	return in
}

// program is the name under which the request's program has its budget.
func (x *exchange) program() string { return x.owned(x.call.Program) }

// keptAs is the program under which turns of the request's program are kept. Where they may be
// kept in some regions only it is another one, in a region; the program's budget, which
// tells nothing of what was said, stays with the common ones, so that it holds over all routes.
func (x *exchange) keptAs() (program string, err error) {
	regions := x.regions()
	if !x.route.Retained || regions.Unrestricted() {
		return x.program(), nil
	}
	region, ok := x.host.History.RegionFor(x.host.Regions[x.host.DataCentre], regions.Allows)
	if !ok {
		return "", failure.Retry(failure.HistoryUnavailable, x.comeBack(), "no history host in the regions that may keep the turn")
	}
	return placement.RegionalName(region, x.program()), nil
}

// priority ranks the request: the customer's goes before the route's.
func (x *exchange) priority() int {
	if x.customer != nil && x.customer.HasPriority {
		return x.customer.Priority
	}
	return x.route.Priority
}

// owned is the name under which something of the caller's is kept: no caller reaches what
// is kept for another customer. Callers cannot send the separator in a header.
func (x *exchange) owned(name string) string {
	if name == "" || x.customer == nil {
		return name
	}
	return x.customer.Name + "\x00" + name
}
