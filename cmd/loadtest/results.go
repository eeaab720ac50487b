package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"pinebay/internal/loadtest"
)

// newTablesCommand returns the command that writes the tables of kept results again.
func newTablesCommand() *cobra.Command {
	var out output
	cmd := &cobra.Command{
		Use:   "tables RESULT...",
		Short: "Write the tables of results that were kept",
		Args:  requireArgs(func(n int) bool { return n > 0 }, "no result is named"),
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, path := range args {
				if err := writeTables(cmd, path, out); err != nil {
					return err
				}
			}
			return nil
		},
	}
	addPictureFlag(flagSet{cmd.Flags()}, &out)
	return cmd
}

func writeTables(cmd *cobra.Command, path string, out output) error {
	result, err := readResult(path)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(cmd.OutOrStdout(), "\n%s\n", path); err != nil {
		return fmt.Errorf("write tables: %w", err)
	}
	return writeResult(cmd, result, out)
}

// newCapacityCommand returns the command that extrapolates a result to a size.
func newCapacityCommand() *cobra.Command {
	var size int
	cmd := &cobra.Command{
		Use:   "capacity --at SIZE RESULT",
		Short: "Write what each figure is at a size, according to its slope",
		Args:  requireArgs(func(n int) bool { return n == 1 }, "one result is to be named"),
		RunE: func(cmd *cobra.Command, args []string) error {
			if size < 1 {
				return fmt.Errorf("%w: --at %d is not a size", errUsage, size)
			}
			result, err := readResult(args[0])
			if err != nil {
				return err
			}
			return result.WriteCapacity(cmd.OutOrStdout(), size)
		},
	}
	flagSet{cmd.Flags()}.integer(&size, "at", "the size")
	return cmd
}

// requireArgs returns a check of the number of arguments.
func requireArgs(valid func(n int) bool, complaint string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if !valid(len(args)) {
			return fmt.Errorf("%w: %s", errUsage, complaint)
		}
		return nil
	}
}

// readResult reads a result. A file that is none is wrong use.
func readResult(path string) (*loadtest.Result, error) {
	result, err := loadtest.ReadResult(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	return result, nil
}

func writeResult(cmd *cobra.Command, result *loadtest.Result, out output) error {
	if err := result.WriteTables(cmd.OutOrStdout()); err != nil {
		return err
	}
	if out.json != "" {
		if err := result.WriteJSON(out.json); err != nil {
			return err
		}
	}
	if out.picture != "" {
		return result.WritePlots(out.picture, loadtest.PlottedFigures())
	}
	return nil
}
