package membership

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"balsambarrow/internal/kv"
)

// aliveDir holds the entries that live as long as their daemons' leases.
const aliveDir = "alive/"

// SlotPrefix is the store's prefix of a zone's slots.
func SlotPrefix(zone string) string { return "balsambarrow/slots/" + zone + "/" }

// SlotKey is the store's key of one slot.
func SlotKey(zone string, slot int) string { return fmt.Sprintf("%s%04d", SlotPrefix(zone), slot) }

// AliveKey is the store's key that lives as long as a daemon's lease.
func AliveKey(zone string, lease uint64) string {
	return SlotPrefix(zone) + aliveDir + strconv.FormatUint(lease, 10)
}

// Holder is a daemon as a slot's entry names it.
type Holder struct {
	Instance string `json:"instance"`
	// PeerAddress is the address at which it answers other daemons.
	PeerAddress string `json:"peers"`
}

// Encode returns the entry's value in the store.
func (h Holder) Encode() []byte {
	raw, err := json.Marshal(h)
	if err != nil {
		panic(err) // two strings always encode
	}
	return raw
}

// SlotEntry is one slot's entry.
type SlotEntry struct {
	Holder   Holder
	Revision uint64
}

// SlotState is what the store says of a zone.
type SlotState struct {
	// Slots by index; a slot without an entry is free.
	Slots map[int]SlotEntry
	// Leased are the instances whose lease is in force.
	Leased map[string]bool
}

// ParseSlots sorts the entries under a zone's prefix. An entry that cannot be
// read is held by nobody known: it is taken like a silent daemon's.
func ParseSlots(zone string, entries []kv.Item) *SlotState {
	r := &SlotState{Slots: map[int]SlotEntry{}, Leased: map[string]bool{}}
	for _, e := range entries {
		name := strings.TrimPrefix(e.Key, SlotPrefix(zone))
		var holder Holder
		_ = json.Unmarshal(e.Value, &holder)
		if strings.HasPrefix(name, aliveDir) {
			r.Leased[holder.Instance] = true
			continue
		}
		if slot, err := strconv.Atoi(name); err == nil {
			r.Slots[slot] = SlotEntry{Holder: holder, Revision: e.Revision}
		}
	}
	return r
}

// HolderAddresses returns the addresses of the daemons that the entries name.
func (r *SlotState) HolderAddresses() []string {
	seen := map[string]bool{}
	var out []string
	for _, e := range r.Slots {
		if peers := e.Holder.PeerAddress; peers != "" && !seen[peers] {
			seen[peers] = true
			out = append(out, peers)
		}
	}
	return out
}
