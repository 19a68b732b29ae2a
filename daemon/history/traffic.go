package history

import (
	"net"

	"github.com/pistachioarch/pistachioarch/wire/rpc"
)

// Serve answers the requests on the connections of a listener until it is closed.
func (s *Server) Serve(listener net.Listener) error {
	return rpc.ServeCounted(listener, s.Handle, &s.traffic)
}

// trafficOf returns the byte counter of calls to a member's address. An address without a member
// counts as far.
func (c *Controller) trafficOf(address string) *rpc.Traffic {
	if m := c.server.Map(); m != nil {
		for _, member := range m.Members {
			if member.Address == address && member.DataCentre == c.self.DataCentre {
				return &c.peers.near
			}
		}
	}
	return &c.peers.far
}
