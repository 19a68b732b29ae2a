package history

import (
	"net"

	"github.com/pistachioarch/pistachioarch/wire/rpc"
)

// Serve answers what comes on a listener until that is closed.
func (s *Server) Serve(listener net.Listener) error {
	return rpc.ServeCounted(listener, s.Handle, &s.traffic)
}

// trafficOf returns what counts the bytes of calls to another member. An address that no
// member has counts as far.
func (k *Controller) trafficOf(address string) *rpc.Traffic {
	if m := k.server.Map(); m != nil {
		for _, x := range m.Members {
			if x.Address == address && x.DataCentre == k.self.DataCentre {
				return &k.peers.near
			}
		}
	}
	return &k.peers.far
}
