package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"pinebay/internal/loadtest"
)

// newTablesCommand returns the subcommand that writes the tables of results that were saved in files.
func newTablesCommand() *cobra.Command {
	var out output
	cmd := &cobra.Command{
		Use:   "tables RESULT...",
		Short: "Write the tables of saved results",
		Args:  requireArgs(func(n int) bool { return n > 0 }, "want at least one result file"),
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, path := range args {
				if err := writeTables(cmd, path, out); err != nil {
					return err
				}
			}
			return nil
		},
	}
	addPlotFlag(flagSet{cmd.Flags()}, &out)
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

// newCapacityCommand returns the subcommand that estimates the metrics at a size from the slopes of a saved result.
func newCapacityCommand() *cobra.Command {
	var size int
	cmd := &cobra.Command{
		Use:   "capacity --at SIZE RESULT",
		Short: "Estimate each metric at a size from the slopes of a saved result",
		Args:  requireArgs(func(n int) bool { return n == 1 }, "want exactly one result file"),
		RunE: func(cmd *cobra.Command, args []string) error {
			if size < 1 {
				return fmt.Errorf("%w: --at: %d is not a size, want at least 1", errUsage, size)
			}
			result, err := readResult(args[0])
			if err != nil {
				return err
			}
			return result.WriteCapacity(cmd.OutOrStdout(), size)
		},
	}
	flagSet{cmd.Flags()}.integer(&size, "at", "the size for which to estimate the metrics")
	return cmd
}

// requireArgs returns a check that the number of arguments is valid. The message names the valid numbers.
func requireArgs(valid func(n int) bool, message string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if !valid(len(args)) {
			return fmt.Errorf("%w: %s", errUsage, message)
		}
		return nil
	}
}

// readResult reads a result from a file. Any failure counts as a usage error.
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
	if out.jsonFile != "" {
		if err := result.WriteJSON(out.jsonFile); err != nil {
			return err
		}
	}
	if out.plotFile != "" {
		return result.WritePlots(out.plotFile, loadtest.PlottedMetrics())
	}
	return nil
}
