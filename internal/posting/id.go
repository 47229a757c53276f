package posting

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Limits of the parts of a posting id.
const (
	maxInstanceBytes = 64
	maxSuffixBytes   = 128
)

// ErrInvalidID reports a posting id that cannot be parsed.
var ErrInvalidID = errors.New("posting: want <posting_prefix>.<caller's own id>")

// ID is a posting id of the form <instance>-<epoch>.<suffix>.
type ID struct {
	// Instance is the only daemon instance that may run the posting.
	Instance string
	// Epoch is the epoch of the instance when it issued the prefix.
	Epoch uint64
	// Suffix is the part that the caller chose.
	Suffix string
}

// Prefix returns the prefix that GET /v1/entries returns as posting_prefix.
func Prefix(instance string, epoch uint64) string {
	return instance + "-" + strconv.FormatUint(epoch, 10)
}

// String returns the id as it is written in the Idempotency-Key header.
func (id ID) String() string { return Prefix(id.Instance, id.Epoch) + "." + id.Suffix }

// ParseID parses the value of an Idempotency-Key header.
func ParseID(s string) (ID, error) {
	prefix, suffix, ok := strings.Cut(s, ".")
	dash := strings.LastIndexByte(prefix, '-')
	if !ok || dash <= 0 || dash > maxInstanceBytes || suffix == "" || len(suffix) > maxSuffixBytes || !isPrintable(s) {
		return ID{}, ErrInvalidID
	}
	epoch, err := strconv.ParseUint(prefix[dash+1:], 10, 64)
	if err != nil {
		return ID{}, ErrInvalidID
	}
	return ID{Instance: prefix[:dash], Epoch: epoch, Suffix: suffix}, nil
}

func isPrintable(s string) bool {
	for _, r := range s {
		if r <= ' ' || r > '~' {
			return false
		}
	}
	return true
}
