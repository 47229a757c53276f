package daemon

// handoverServer receives what stopping peers pass on: postings and slots. It
// implements peer.DRPCHandoverServer.
type handoverServer struct {
	*postingReceiver
	*slotReceiver
}

func newHandoverServer(d *Daemon) handoverServer {
	return handoverServer{postingReceiver: newPostingReceiver(d), slotReceiver: &slotReceiver{d: d}}
}
