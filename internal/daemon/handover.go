package daemon

// handoverServer receives what stopping peers pass on: postings and slots. It
// implements peer.DRPCHandoverServer.
type handoverServer struct {
	*handover
	*slotTaker
}

func newHandoverServer(d *Daemon) handoverServer {
	return handoverServer{handover: newHandover(d), slotTaker: &slotTaker{d: d}}
}
