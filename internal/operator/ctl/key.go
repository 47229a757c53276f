package ctl

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"balsambarrow/internal/config"
)

// keyBytes is the entropy of a granted key.
const keyBytes = 32

func keyCommand(e *env) *cobra.Command {
	cmd := &cobra.Command{Use: "key", Short: "Grant and withdraw customers' keys"}
	cmd.AddCommand(keyGrant(e), keyWithdraw(e))
	return cmd
}

// granted is what key grant prints: the only time that the key is shown.
type granted struct {
	Customer string `json:"customer"`
	ID       string `json:"id"`
	Key      string `json:"key"`
	accepted
}

func keyGrant(e *env) *cobra.Command {
	var id string
	var c change
	cmd := &cobra.Command{
		Use:   "grant CUSTOMER",
		Short: "Make a new key; it is printed once, only its hash is kept",
		Long: "Make a new key for a customer. The key is printed once; only its hash is kept.\n" +
			"Where the outcome is unknown it is not printed: withdraw its id and grant another.",
		Example: "  balsamctl key grant addison-farms --id barn-3 --wait",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			key, err := newSecret()
			if err != nil {
				return err
			}
			if id == "" {
				id = "k-" + config.DigestOf(key).String()[:8]
			}
			keys, err := e.customerKeys(args[0], &c)
			if err != nil {
				return err
			}
			if _, taken := keys[id]; taken {
				return errors.Wrapf(ErrBadUsage, "customer %s has a key %s already", args[0], id)
			}
			c.merge, err = keyPatch(args[0], id, &config.Key{SHA256: config.DigestOf(key).String()})
			if err != nil {
				return err
			}
			return e.grant(c, granted{Customer: args[0], ID: id, Key: key})
		},
	}
	cmd.Flags().StringVar(&id, "id", "", "name of the key, for its withdrawal (default: made from its hash)")
	c.wait.add(cmd)
	return cmd
}

func (e *env) grant(c change, g granted) error {
	var err error
	g.accepted, err = e.submit(c)
	if g.Version == 0 {
		return err
	}
	shown := e.show(g, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "key %s of %s: %s\nit is not shown again\n", g.ID, g.Customer, g.Key)
		if err != nil {
			return err
		}
		return g.text(w)
	})
	if err != nil {
		return err
	}
	return shown
}

func keyWithdraw(e *env) *cobra.Command {
	var c change
	cmd := &cobra.Command{
		Use:     "withdraw CUSTOMER ID",
		Short:   "Withdraw a key by its id",
		Example: "  balsamctl key withdraw addison-farms barn-3 --wait",
		Args:    cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			keys, err := e.customerKeys(args[0], &c)
			if err != nil {
				return err
			}
			if _, ok := keys[args[1]]; !ok {
				return errors.Wrapf(ErrBadUsage, "customer %s has no key %s", args[0], args[1])
			}
			if c.merge, err = keyPatch(args[0], args[1], nil); err != nil {
				return err
			}
			return e.submitAndShow(c)
		},
	}
	c.wait.add(cmd)
	return cmd
}

// customerKeys reads a customer's keys and sets the change's base.
func (e *env) customerKeys(customer string, c *change) (map[string]config.Key, error) {
	current, err := e.client().Config()
	if err != nil {
		return nil, err
	}
	c.base = current.Version
	parsed, err := config.Parse("current", current.Document)
	if err != nil {
		return nil, err
	}
	found, ok := parsed.Customers[customer]
	if !ok {
		return nil, errors.Wrapf(ErrBadUsage, "there is no customer %s", customer)
	}
	return found.Keys, nil
}

// keyPatch sets one key, or removes it where key is nil.
func keyPatch(customer, id string, key *config.Key) ([]byte, error) {
	type keys struct {
		Keys map[string]*config.Key `json:"keys"`
	}
	merge, err := json.Marshal(struct {
		Customers map[string]keys `json:"customers"`
	}{map[string]keys{customer: {Keys: map[string]*config.Key{id: key}}}})
	return merge, errors.Wrap(err, "encode patch")
}

func newSecret() (string, error) {
	raw := make([]byte, keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", errors.Wrap(err, "random key")
	}
	return base64.RawURLEncoding.EncodeToString(raw), nil
}
