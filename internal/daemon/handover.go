package daemon

// handoverServer receives the postings and slots that stopping peers transfer.
// It implements peer.DRPCHandoverServer.
type handoverServer struct {
	*postingReceiver
	*slotReceiver
}

func newHandoverServer(d *Daemon) handoverServer {
	return handoverServer{postingReceiver: newPostingReceiver(d), slotReceiver: &slotReceiver{d: d}}
}
