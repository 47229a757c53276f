package posting

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Bounds of an id's parts.
const (
	maxInstance = 64
	maxOwn      = 128
)

// ErrInvalidID reports a posting id that cannot be parsed.
var ErrInvalidID = errors.New("posting: want <posting_prefix>.<caller's own id>")

// ID is a posting id: <instance>-<epoch>.<own>.
type ID struct {
	// Instance of the daemon that alone may run it.
	Instance string
	// Epoch of that instance when the prefix was given out.
	Epoch uint64
	// Suffix is the part that the caller chose.
	Suffix string
}

// Prefix is what GET /v1/entries gives callers as posting_prefix.
func Prefix(instance string, epoch uint64) string {
	return instance + "-" + strconv.FormatUint(epoch, 10)
}

// String is the form in the Idempotency-Key header.
func (id ID) String() string { return Prefix(id.Instance, id.Epoch) + "." + id.Suffix }

// ParseID reads an Idempotency-Key header.
func ParseID(s string) (ID, error) {
	prefix, own, ok := strings.Cut(s, ".")
	cut := strings.LastIndexByte(prefix, '-')
	if !ok || cut <= 0 || cut > maxInstance || own == "" || len(own) > maxOwn || !printable(s) {
		return ID{}, ErrInvalidID
	}
	epoch, err := strconv.ParseUint(prefix[cut+1:], 10, 64)
	if err != nil {
		return ID{}, ErrInvalidID
	}
	return ID{Instance: prefix[:cut], Epoch: epoch, Suffix: own}, nil
}

func printable(s string) bool {
	for _, r := range s {
		if r <= ' ' || r > '~' {
			return false
		}
	}
	return true
}
