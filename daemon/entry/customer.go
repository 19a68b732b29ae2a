package entry

import (
	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/core/routing"
)

// authorise looks up the customer of the caller's key in the newest configuration. It is called
// before each send, so that a retry does not use a key that has been removed meanwhile.
func (x *exchange) authorise() error {
	table := x.host.table.Load()
	if !table.RequiresKey() || x.route.Public {
		return nil
	}
	if staleFor := x.host.staleFor(); staleFor > 0 {
		return failure.Retry(failure.StaleConfiguration, x.host.staleRetryDelay(staleFor), "configuration last confirmed %d ms ago", x.host.confirmedAge().Milliseconds())
	}
	customer, known := table.Customers().ByKey(routing.DigestKey(x.call.CustomerKey))
	if known && (x.customer == nil || x.customer.Name == customer.Name) {
		x.customer, x.customerVersion = customer, table.Version
		return nil
	}
	if x.host.configMayBeOutdated() {
		return failure.Retry(failure.StaleConfiguration, defaultRetryDelay, "unknown key, configuration last confirmed %d ms ago", x.host.confirmedAge().Milliseconds())
	}
	return failure.New(failure.Unauthorized, "unknown key in configuration version %d", table.Version)
}

// customerName returns the name of the caller's customer, empty if there is none.
func (x *exchange) customerName() string {
	if x.customer == nil {
		return ""
	}
	return x.customer.Name
}

// allowedRegions returns the regions in which the request may be served and its turn stored, by its
// route and its customer.
func (x *exchange) allowedRegions() routing.Regions {
	if x.customer == nil {
		return x.route.Regions
	}
	return x.route.Regions.Intersect(x.customer.Regions)
}

// allowedDataCentres returns the data centres of the allowed regions, nil if regions are
// unrestricted. A data centre whose region is not in the settings is in no region.
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

// budgetProgram returns the program name under which the budget of the request's program is stored.
func (x *exchange) budgetProgram() string { return x.customerScoped(x.call.Program) }

// historyProgram returns the program name under which turns of the request's program are stored. If
// they may be stored in some regions only, it is a regional name. The budget contains nothing of
// the turns' content and stays under the global name, so that it holds across all routes.
func (x *exchange) historyProgram() (program string, err error) {
	regions := x.allowedRegions()
	if !x.route.Retained || regions.Unrestricted() {
		return x.budgetProgram(), nil
	}
	region, ok := x.host.History.SelectRegion(x.host.Regions[x.host.DataCentre], regions.Allows)
	if !ok {
		return "", failure.Retry(failure.HistoryUnavailable, x.historyRetryDelay(), "no history host in the regions allowed to store the turn")
	}
	return placement.RegionalName(region, x.budgetProgram()), nil
}

// priority returns the request's priority, 0 being the most urgent: that of the customer, if set,
// else that of the route.
func (x *exchange) priority() int {
	if x.customer != nil && x.customer.HasPriority {
		return x.customer.Priority
	}
	return x.route.Priority
}

// customerScoped prefixes a name with the customer, so that no caller can access data that is
// stored for another customer. The separator cannot be sent in a header.
func (x *exchange) customerScoped(name string) string {
	if name == "" || x.customer == nil {
		return name
	}
	return x.customer.Name + "\x00" + name
}
