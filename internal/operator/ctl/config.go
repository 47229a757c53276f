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

func configCommand(e *commandEnv) *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Read and change the configuration"}
	cmd.AddCommand(configGetCommand(e), configApplyCommand(e), configPatchCommand(e), configDiffCommand(e), configValidateCommand(e), configHistoryCommand(e), configChangeCommand(e))
	return cmd
}

func configGetCommand(e *commandEnv) *cobra.Command {
	return &cobra.Command{
		Use:     "get",
		Short:   "Print the configuration and its version",
		Example: "  balsamctl config get > current.jsonc",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			response, err := e.client().Config()
			if err != nil {
				return err
			}
			return e.printOutput(response, func(w io.Writer) error {
				pretty, err := json.MarshalIndent(response.Document, "", "  ")
				if err != nil {
					return errors.Wrap(err, "print")
				}
				_, err = fmt.Fprintf(w, "// version %d\n%s\n", response.Version, pretty)
				return err
			})
		},
	}
}

func configApplyCommand(e *commandEnv) *cobra.Command {
	var merges []string
	var change submission
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Make the configuration equal to a file",
		Long: "Make the configuration equal to a file. Only the difference from the current version\n" +
			"is submitted, and a change made in the meantime is not overwritten.",
		Example: "  balsamctl config apply fleet.jsonc --wait",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			desired, err := readDesiredConfig(args[0], merges)
			if err != nil {
				return err
			}
			current, err := e.client().Config()
			if err != nil {
				return err
			}
			change.base = current.Version
			if change.merge, err = jsonpatch.CreateMergePatch(current.Document, desired); err != nil {
				return errors.Wrap(err, "compute difference")
			}
			return e.submitAndPrint(change)
		},
	}
	cmd.Flags().StringSliceVar(&merges, "merge", nil, "merge patches to apply to the file first")
	cmd.Flags().StringVar(&change.id, "change-id", "", "UUID of an earlier submission of the same change")
	change.wait.add(cmd)
	return cmd
}

// readDesiredConfig reads a complete configuration from a file, applies the merge
// patches and validates the result. Without merge patches, the reported faults
// name lines of the file.
func readDesiredConfig(file string, merges []string) ([]byte, error) {
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

func configPatchCommand(e *commandEnv) *cobra.Command {
	var change submission
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
			if current.Version == change.base {
				if err := checkPatch(current, doc); err != nil {
					return err
				}
			}
			change.merge = doc.StandardJSON()
			return e.submitAndPrint(change)
		},
	}
	cmd.Flags().Uint64Var(&change.base, "base", 0, "version that the patch was built on")
	cmd.Flags().StringVar(&change.id, "change-id", "", "UUID of an earlier submission of the same change")
	change.wait.add(cmd)
	_ = cmd.MarkFlagRequired("base")
	return cmd
}

// difference is one path at which two documents differ.
type difference struct {
	Path string          `json:"path"`
	Old  json.RawMessage `json:"old,omitempty"`
	New  json.RawMessage `json:"new,omitempty"`
}

func configDiffCommand(e *commandEnv) *cobra.Command {
	return &cobra.Command{
		Use:     "diff FILE",
		Short:   "Show what apply would change",
		Example: "  balsamctl config diff fleet.jsonc",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			desired, err := readDesiredConfig(args[0], nil)
			if err != nil {
				return err
			}
			current, err := e.client().Config()
			if err != nil {
				return err
			}
			differences := diffDocuments(current.Document, desired, "")
			return e.printOutput(differences, func(w io.Writer) error { return printDifferences(w, current.Version, differences) })
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

// diffDocuments returns the paths at which two documents differ, sorted. Objects
// are compared member by member; all other values are compared as units.
func diffDocuments(current, desired json.RawMessage, path string) []difference {
	var currentMembers, desiredMembers map[string]json.RawMessage
	if json.Unmarshal(current, &currentMembers) != nil || json.Unmarshal(desired, &desiredMembers) != nil || currentMembers == nil || desiredMembers == nil {
		if string(current) != "" && string(desired) != "" && jsonpatch.Equal(current, desired) {
			return nil
		}
		return []difference{{Path: path, Old: current, New: desired}}
	}
	names := map[string]bool{}
	for name := range currentMembers {
		names[name] = true
	}
	for name := range desiredMembers {
		names[name] = true
	}
	var differences []difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		differences = append(differences, diffDocuments(currentMembers[name], desiredMembers[name], path+"/"+jsonc.EscapeToken(name))...)
	}
	return differences
}

func configValidateCommand(e *commandEnv) *cobra.Command {
	return &cobra.Command{
		Use:     "validate FILE",
		Short:   "Validate a configuration file without contacting a daemon",
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

func configHistoryCommand(e *commandEnv) *cobra.Command {
	return &cobra.Command{
		Use:     "history",
		Short:   "Show the recent changes, newest last",
		Example: "  balsamctl config history -o json",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			response, err := e.client().Changes()
			if err != nil {
				return err
			}
			return e.printOutput(response, func(w io.Writer) error {
				for _, c := range response.Changes {
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
	content := string(c.Patch)
	if content == "" {
		content = fmt.Sprint(c.Paths)
	}
	_, err := fmt.Fprintf(w, "%d  %s  %s  %s\n", c.Version, time.UnixMilli(c.AtUnixMs).UTC().Format(time.RFC3339), c.ID, content)
	return err
}

func configChangeCommand(e *commandEnv) *cobra.Command {
	return &cobra.Command{
		Use:     "change ID",
		Short:   "Show the outcome of a change",
		Example: "  balsamctl config change 3f0c1a52-63d5-4a5e-9a57-0c7f0b6f4a11",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			c, err := e.client().Change(args[0])
			if err != nil {
				return err
			}
			return e.printOutput(c, func(w io.Writer) error { return printChange(w, c) })
		},
	}
}
