package membership

import (
	"context"
	"encoding/json"
	"strings"

	"balsambarrow/internal/kv"
)

// hostListPrefix is the key prefix of the host list in the store.
const hostListPrefix = "balsambarrow/hostlist/"

// HostKey returns the store key of a host's entry in the host list.
func HostKey(name string) string { return hostListPrefix + name }

// HostState is the state of a host in the host list.
type HostState string

// States of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the host list. The list lags behind the fleet: a listed
// host may have stopped, and a live host may be missing.
type Host struct {
	Name  string    `json:"name"`
	Zone  string    `json:"zone"`
	State HostState `json:"state"`
	// PeerAddress is the address of the host's peers listener.
	PeerAddress string `json:"peers"`
}

// Encode returns the stored form of the entry.
func (h Host) Encode() []byte {
	raw, err := json.Marshal(h)
	if err != nil {
		panic(err) // four strings always encode
	}
	return raw
}

// ListHosts reads the host list with a stale read, whose result may be seconds
// old. A stale read costs a tenth of a consistent one, and the store serves it
// even without a leader. unreadable lists the keys of the entries that cannot
// be decoded, because they were written by something other than a daemon.
func ListHosts(ctx context.Context, store kv.Store) (hosts []Host, unreadable []string, err error) {
	listing, err := store.List(ctx, hostListPrefix, true)
	if err != nil {
		return nil, nil, err
	}
	for _, item := range listing.Items {
		var h Host
		if json.Unmarshal(item.Value, &h) != nil {
			unreadable = append(unreadable, item.Key)
			continue
		}
		h.Name = strings.TrimPrefix(item.Key, hostListPrefix)
		hosts = append(hosts, h)
	}
	return hosts, unreadable, nil
}
