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

// keyBytes is the number of random bytes in a granted key.
const keyBytes = 32

func keyCommand(e *commandEnv) *cobra.Command {
	cmd := &cobra.Command{Use: "key", Short: "Grant and withdraw keys of customers"}
	cmd.AddCommand(keyGrantCommand(e), keyWithdrawCommand(e))
	return cmd
}

// grantedKey is the output of key grant. No other command shows the key.
type grantedKey struct {
	Customer string `json:"customer"`
	ID       string `json:"id"`
	Key      string `json:"key"`
	submitResult
}

func keyGrantCommand(e *commandEnv) *cobra.Command {
	var id string
	var change submission
	cmd := &cobra.Command{
		Use:   "grant CUSTOMER",
		Short: "Create a key; it is printed once, and only its hash is stored",
		Long: "Create a key for a customer. The key is printed once; only its hash is stored.\n" +
			"If the outcome is unknown, no key is printed: withdraw the id and grant another key.",
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
			keys, err := e.customerKeys(args[0], &change)
			if err != nil {
				return err
			}
			if _, taken := keys[id]; taken {
				return errors.Wrapf(ErrBadUsage, "customer %s already has a key %s", args[0], id)
			}
			change.merge, err = keyPatch(args[0], id, &config.Key{SHA256: config.DigestOf(key).String()})
			if err != nil {
				return err
			}
			return e.submitGrant(change, grantedKey{Customer: args[0], ID: id, Key: key})
		},
	}
	cmd.Flags().StringVar(&id, "id", "", "id of the key, used to withdraw it (default: derived from its hash)")
	change.wait.add(cmd)
	return cmd
}

func (e *commandEnv) submitGrant(change submission, g grantedKey) error {
	var err error
	g.submitResult, err = e.submit(change)
	if g.Version == 0 {
		return err
	}
	printErr := e.printOutput(g, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "key %s of %s: %s\nthe key is not shown again\n", g.ID, g.Customer, g.Key)
		if err != nil {
			return err
		}
		return g.writeText(w)
	})
	if err != nil {
		return err
	}
	return printErr
}

func keyWithdrawCommand(e *commandEnv) *cobra.Command {
	var change submission
	cmd := &cobra.Command{
		Use:     "withdraw CUSTOMER ID",
		Short:   "Withdraw a key by its id",
		Example: "  balsamctl key withdraw addison-farms barn-3 --wait",
		Args:    cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			keys, err := e.customerKeys(args[0], &change)
			if err != nil {
				return err
			}
			if _, ok := keys[args[1]]; !ok {
				return errors.Wrapf(ErrBadUsage, "customer %s has no key %s", args[0], args[1])
			}
			if change.merge, err = keyPatch(args[0], args[1], nil); err != nil {
				return err
			}
			return e.submitAndPrint(change)
		},
	}
	change.wait.add(cmd)
	return cmd
}

// customerKeys returns a customer's keys, and sets change.base to the version that
// they were read from.
func (e *commandEnv) customerKeys(customer string, change *submission) (map[string]config.Key, error) {
	current, err := e.client().Config()
	if err != nil {
		return nil, err
	}
	change.base = current.Version
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

// keyPatch returns a merge patch that sets one key, or removes it if key is nil.
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
		return "", errors.Wrap(err, "generate random key")
	}
	return base64.RawURLEncoding.EncodeToString(raw), nil
}
