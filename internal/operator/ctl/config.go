package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"balsambarrow/internal/config"
	"balsambarrow/internal/jsonc"
)

func configCommand(e *env) *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Read and change the configuration"}
	cmd.AddCommand(configGet(e), configApply(e), configPatch(e), configDiff(e), configValidate(e), configHistory(e), configChange(e))
	return cmd
}

func configGet(e *env) *cobra.Command {
	return &cobra.Command{
		Use:     "get",
		Short:   "Print the configuration and its version",
		Example: "  balsamctl config get > current.jsonc",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			a, err := e.client().Config()
			if err != nil {
				return err
			}
			return e.show(a, func(w io.Writer) error {
				pretty, err := json.MarshalIndent(a.Document, "", "  ")
				if err != nil {
					return errors.Wrap(err, "print")
				}
				_, err = fmt.Fprintf(w, "// version %d\n%s\n", a.Version, pretty)
				return err
			})
		},
	}
}

func configApply(e *env) *cobra.Command {
	var merges []string
	var c change
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Make the configuration equal to a file",
		Long: "Make the configuration equal to a file. It is compared with the current version,\n" +
			"and only the difference is submitted; a change made meanwhile is not overwritten.",
		Example: "  balsamctl config apply fleet.jsonc --wait",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			wanted, err := readWanted(args[0], merges)
			if err != nil {
				return err
			}
			current, err := e.client().Config()
			if err != nil {
				return err
			}
			c.base = current.Version
			if c.merge, err = jsonpatch.CreateMergePatch(current.Document, wanted); err != nil {
				return errors.Wrap(err, "compare")
			}
			return e.submitAndShow(c)
		},
	}
	cmd.Flags().StringSliceVar(&merges, "merge", nil, "merge patches to lay over the file first")
	cmd.Flags().StringVar(&c.id, "change-id", "", "UUID of an earlier submission of the same change")
	c.wait.add(cmd)
	return cmd
}

// readWanted reads a whole configuration. Its faults come with the file's
// lines.
func readWanted(file string, merges []string) ([]byte, error) {
	doc, err := readDocument(file)
	if err != nil {
		return nil, err
	}
	text := doc.StandardJSON()
	for _, m := range merges {
		merge, err := readDocument(m)
		if err != nil {
			return nil, err
		}
		if text, err = jsonpatch.MergePatch(text, merge.StandardJSON()); err != nil {
			return nil, errors.Wrap(err, m)
		}
	}
	if len(merges) == 0 {
		err = validateFile(file)
	} else {
		_, err = config.Parse(file, text)
	}
	return text, err
}

func readDocument(file string) (*jsonc.Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(ErrBadUsage, err.Error())
	}
	return jsonc.Parse(file, text)
}

func validateFile(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(ErrBadUsage, err.Error())
	}
	_, err = config.Parse(file, text)
	return err
}

func configPatch(e *env) *cobra.Command {
	var c change
	cmd := &cobra.Command{
		Use:     "patch FILE",
		Short:   "Submit a JSON Merge Patch against a numbered version",
		Example: "  balsamctl config patch rate.jsonc --base 41 --wait",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			doc, err := readDocument(args[0])
			if err != nil {
				return err
			}
			current, err := e.client().Config()
			if err != nil {
				return err
			}
			if current.Version == c.base {
				if err := check(current, doc); err != nil {
					return err
				}
			}
			c.merge = doc.StandardJSON()
			return e.submitAndShow(c)
		},
	}
	cmd.Flags().Uint64Var(&c.base, "base", 0, "version that the patch was built on")
	cmd.Flags().StringVar(&c.id, "change-id", "", "UUID of an earlier submission of the same change")
	c.wait.add(cmd)
	_ = cmd.MarkFlagRequired("base")
	return cmd
}

// difference is one path that differs.
type difference struct {
	Path string          `json:"path"`
	Old  json.RawMessage `json:"old,omitempty"`
	New  json.RawMessage `json:"new,omitempty"`
}

func configDiff(e *env) *cobra.Command {
	return &cobra.Command{
		Use:     "diff FILE",
		Short:   "Show what apply would change",
		Example: "  balsamctl config diff fleet.jsonc",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			wanted, err := readWanted(args[0], nil)
			if err != nil {
				return err
			}
			current, err := e.client().Config()
			if err != nil {
				return err
			}
			differences := compare(current.Document, wanted, "")
			return e.show(differences, func(w io.Writer) error { return printDifferences(w, current.Version, differences) })
		},
	}
}

func printDifferences(w io.Writer, version uint64, differences []difference) error {
	if len(differences) == 0 {
		_, err := fmt.Fprintf(w, "no difference from version %d\n", version)
		return err
	}
	for _, d := range differences {
		if d.Old != nil {
			_, _ = fmt.Fprintf(w, "- %s %s\n", d.Path, d.Old)
		}
		if d.New != nil {
			_, _ = fmt.Fprintf(w, "+ %s %s\n", d.Path, d.New)
		}
	}
	return nil
}

// compare lists the paths at which two documents differ, in order. Objects
// are compared by member, everything else as a whole.
func compare(old, wanted json.RawMessage, at string) []difference {
	var a, b map[string]json.RawMessage
	if json.Unmarshal(old, &a) != nil || json.Unmarshal(wanted, &b) != nil || a == nil || b == nil {
		if string(old) != "" && string(wanted) != "" && jsonpatch.Equal(old, wanted) {
			return nil
		}
		return []difference{{Path: at, Old: old, New: wanted}}
	}
	names := map[string]bool{}
	for name := range a {
		names[name] = true
	}
	for name := range b {
		names[name] = true
	}
	var out []difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		out = append(out, compare(a[name], b[name], at+"/"+jsonc.EscapeToken(name))...)
	}
	return out
}

func configValidate(e *env) *cobra.Command {
	return &cobra.Command{
		Use:     "validate FILE",
		Short:   "Check a configuration file without a fleet",
		Example: "  balsamctl config validate fleet.jsonc",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if err := validateFile(args[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintln(e.out, "valid")
			return err
		},
	}
}

func configHistory(e *env) *cobra.Command {
	return &cobra.Command{
		Use:     "history",
		Short:   "Show the recent changes, newest last",
		Example: "  balsamctl config history -o json",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			a, err := e.client().Changes()
			if err != nil {
				return err
			}
			return e.show(a, func(w io.Writer) error {
				for _, c := range a.Changes {
					if err := printChange(w, c); err != nil {
						return err
					}
				}
				return nil
			})
		},
	}
}

func printChange(w io.Writer, c config.Change) error {
	what := string(c.Patch)
	if what == "" {
		what = fmt.Sprint(c.Paths)
	}
	_, err := fmt.Fprintf(w, "%d  %s  %s  %s\n", c.Version, time.UnixMilli(c.AtUnixMs).UTC().Format(time.RFC3339), c.ID, what)
	return err
}

func configChange(e *env) *cobra.Command {
	return &cobra.Command{
		Use:     "change ID",
		Short:   "Show what has become of a change",
		Example: "  balsamctl config change 3f0c1a52-63d5-4a5e-9a57-0c7f0b6f4a11",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			c, err := e.client().Change(args[0])
			if err != nil {
				return err
			}
			return e.show(c, func(w io.Writer) error { return printChange(w, c) })
		},
	}
}
