package membership

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"balsambarrow/internal/kv"
)

// aliveDir is the key prefix of entries that are tied to a daemon's lease.
const aliveDir = "alive/"

// SlotPrefix returns the store key prefix of a zone's slots.
func SlotPrefix(zone string) string { return "balsambarrow/slots/" + zone + "/" }

// SlotKey returns the store key of one slot.
func SlotKey(zone string, slot int) string { return fmt.Sprintf("%s%04d", SlotPrefix(zone), slot) }

// AliveKey returns the store key that exists as long as a daemon's lease.
func AliveKey(zone string, lease uint64) string {
	return SlotPrefix(zone) + aliveDir + strconv.FormatUint(lease, 10)
}

// Holder identifies the daemon that holds a slot, as stored in the slot's
// entry.
type Holder struct {
	Instance string `json:"instance"`
	// PeerAddress is the address of the daemon's peers listener.
	PeerAddress string `json:"peers"`
}

// Encode returns the stored form of the holder.
func (h Holder) Encode() []byte {
	raw, err := json.Marshal(h)
	if err != nil {
		panic(err) // two strings always encode
	}
	return raw
}

// SlotEntry is the stored entry of one slot, with its revision.
type SlotEntry struct {
	Holder   Holder
	Revision uint64
}

// SlotState is the state of a zone's slots and leases as read from the store.
type SlotState struct {
	// Slots holds the entries by slot index. A slot without an entry is free.
	Slots map[int]SlotEntry
	// Leased holds the instances whose lease has not expired.
	Leased map[string]bool
}

// ParseSlots decodes the entries under a zone's prefix. An entry that cannot be
// decoded has no known holder: its slot is claimed in the same way as that of
// an unresponsive daemon.
func ParseSlots(zone string, entries []kv.Item) *SlotState {
	state := &SlotState{Slots: map[int]SlotEntry{}, Leased: map[string]bool{}}
	for _, e := range entries {
		name := strings.TrimPrefix(e.Key, SlotPrefix(zone))
		var holder Holder
		_ = json.Unmarshal(e.Value, &holder)
		if strings.HasPrefix(name, aliveDir) {
			state.Leased[holder.Instance] = true
			continue
		}
		if slot, err := strconv.Atoi(name); err == nil {
			state.Slots[slot] = SlotEntry{Holder: holder, Revision: e.Revision}
		}
	}
	return state
}

// HolderAddresses returns the addresses of the daemons that hold slots.
func (s *SlotState) HolderAddresses() []string {
	seen := map[string]bool{}
	var addresses []string
	for _, e := range s.Slots {
		if address := e.Holder.PeerAddress; address != "" && !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	return addresses
}
