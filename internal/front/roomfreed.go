package front

// RoomFreed is called when an upstream of the service has room for a request of this host that was
// refused.
func (h *Handler) RoomFreed(_ string) {}
