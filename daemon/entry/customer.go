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
	table := x.host.table.Load()
	if !table.RequiresKey() || x.route.Public {
		return nil
	}
	if staleFor := x.host.staleFor(); staleFor > 0 {
		return failure.Retry(failure.StaleConfiguration, x.host.staleComeBack(staleFor), "the configuration was confirmed %d ms ago", x.host.configurationAge().Milliseconds())
	}
	customer, known := table.Customers().ByKey(routing.DigestKey(x.call.CustomerKey))
	if known && (x.customer == nil || x.customer.Name == customer.Name) {
		x.customer, x.customerVersion = customer, table.Version
		return nil
	}
	if age := x.host.configurationAge(); x.host.Keys.SureAge > 0 && age > x.host.Keys.SureAge {
		return failure.Retry(failure.StaleConfiguration, defaultRetryDelay, "unknown key, the configuration was confirmed %d ms ago", age.Milliseconds())
	}
	return failure.New(failure.Unauthorized, "unknown key in version %d", table.Version)
}

// customerName is the caller's customer, empty where there is none.
func (x *exchange) customerName() string {
	if x.customer == nil {
		return ""
	}
	return x.customer.Name
}

// regions is where the request may be served and its turn kept, by its route and its customer.
func (x *exchange) allowedRegions() routing.Regions {
	if x.customer == nil {
		return x.route.Regions
	}
	return x.route.Regions.Intersect(x.customer.Regions)
}

// dataCentres is those of the regions. One whose region the settings do not name is in none.
func (x *exchange) allowedDataCentres() balance.DataCentreSet {
	regions := x.allowedRegions()
	if regions.Unrestricted() {
		return nil
	}
	allowed := balance.DataCentreSet{}
	for dataCentre, region := range x.host.Regions {
		allowed[dataCentre] = regions.Allows(region)
	}
	return allowed
}

// program is the name under which the request's program has its budget.
func (x *exchange) budgetProgram() string { return x.customerScoped(x.call.Program) }

// keptAs is the program under which turns of the request's program are kept. Where they may be
// kept in some regions only it is another one, in a region; the program's budget, which
// tells nothing of what was said, stays with the common ones, so that it holds over all routes.
func (x *exchange) historyProgram() (program string, err error) {
	regions := x.allowedRegions()
	if !x.route.Retained || regions.Unrestricted() {
		return x.budgetProgram(), nil
	}
	region, ok := x.host.History.RegionFor(x.host.Regions[x.host.DataCentre], regions.Allows)
	if !ok {
		return "", failure.Retry(failure.HistoryUnavailable, x.historyRetryDelay(), "no history host in the regions that may keep the turn")
	}
	return placement.RegionalName(region, x.budgetProgram()), nil
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
func (x *exchange) customerScoped(name string) string {
	if name == "" || x.customer == nil {
		return name
	}
	return x.customer.Name + "\x00" + name
}
