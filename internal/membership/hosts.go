package membership

import (
	"context"
	"encoding/json"
	"strings"

	"balsambarrow/internal/kv"
)

// hostPrefix is the store's prefix of the host list.
const hostPrefix = "balsambarrow/hostlist/"

// HostKey is the store's key of a host's line in the host list.
func HostKey(name string) string { return hostPrefix + name }

// HostState is a host's state in the host list.
type HostState string

// States of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one line of the host list. The list lags: a host in it may be gone,
// and a live one may be missing.
type Host struct {
	Name  string    `json:"name"`
	Zone  string    `json:"zone"`
	State HostState `json:"state"`
	// PeerAddress is the address of the host's peers listener.
	PeerAddress string `json:"peers"`
}

// Encode returns the line's value in the store.
func (h Host) Encode() []byte {
	raw, err := json.Marshal(h)
	if err != nil {
		panic(err) // four strings always encode
	}
	return raw
}

// ListHosts reads the host list, which may be seconds old: such a reading costs a
// tenth, and is answered where the store has lost its leader. unreadable names the
// lines that somebody else has broken; they name no host.
func ListHosts(ctx context.Context, store kv.Store) (hosts []Host, unreadable []string, err error) {
	l, err := store.List(ctx, hostPrefix, true)
	if err != nil {
		return nil, nil, err
	}
	for _, item := range l.Items {
		var h Host
		if json.Unmarshal(item.Value, &h) != nil {
			unreadable = append(unreadable, item.Key)
			continue
		}
		h.Name = strings.TrimPrefix(item.Key, hostPrefix)
		hosts = append(hosts, h)
	}
	return hosts, unreadable, nil
}
