package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/bulrushwick/bulrushwick/entry/fleet"
	"github.com/bulrushwick/bulrushwick/entry/operator"
)

// errUnhealthy makes status exit with code 1 after it has written its result.
var errUnhealthy = errors.New("an instance returned no status or is not ready, or revisions differ")

// queryConcurrency is the maximum number of instances queried at once.
const queryConcurrency = 32

// instanceStatus is the response of one instance: its view of the fleet, or the
// error of the request.
type instanceStatus struct {
	Address string      `json:"address"`
	Error   string      `json:"error,omitempty"`
	View    *fleet.View `json:"view,omitempty"`
}

func statusCommand() *cobra.Command {
	var format output
	c := &cobra.Command{
		Use:   "status OPERATOR-ADDRESS...",
		Short: "Show the revision in force, the workers owned and who is silent",
		Long: "Query the instances at these operator addresses for their view of the fleet.\n\n" +
			"Exit code 0: every instance answered, is ready or leaving, and all have the\n" +
			"same revision in force. Exit code 1: otherwise; the table shows why.",
		Example: "  bulrushctl status 10.0.0.1:7003 10.0.0.2:7003\n  bulrushctl status 10.0.0.1:7003 --output json",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, addresses []string) error {
			statuses := queryAll(cmd.Context(), addresses)
			err := format.write(cmd.OutOrStdout(), statuses, func(w io.Writer) { writeStatusTable(w, statuses) })
			if err != nil {
				return err
			}
			return checkHealth(statuses)
		},
	}
	format.addFlag(c)
	return c
}

// queryAll returns the status of every instance in the order of addresses.
func queryAll(ctx context.Context, addresses []string) []instanceStatus {
	statuses := make([]instanceStatus, len(addresses))
	var group errgroup.Group
	group.SetLimit(queryConcurrency)
	for i, address := range addresses {
		group.Go(func() error {
			statuses[i] = instanceStatus{Address: address}
			var view fleet.View
			if err := getJSON(ctx, address, operator.StatusPath, nil, &view); err != nil {
				statuses[i].Error = err.Error()
				return nil // the error is in the status
			}
			statuses[i].View = &view
			return nil
		})
	}
	_ = group.Wait() // errors are in the statuses
	return statuses
}

func writeStatusTable(w io.Writer, statuses []instanceStatus) {
	writeRow(w, "ADDRESS", "INSTANCE", "DATA CENTRE", "STATE", "REVISION", "WORKERS", "SILENT", "LEAVING")
	for _, s := range statuses {
		if s.View == nil {
			writeRow(w, s.Address, "-", "-", s.Error, "-", "-", "-", "-")
			continue
		}
		workers := 0
		var silent, leaving []string
		for _, instance := range s.View.Instances {
			if instance.Name == s.View.Instance {
				workers = instance.Workers
			}
			if instance.Silent {
				silent = append(silent, instance.Name)
			} else if instance.Leaving {
				leaving = append(leaving, instance.Name)
			}
		}
		writeRow(w, s.Address, s.View.Instance, s.View.DataCentre, stateOf(s.View), fmt.Sprint(s.View.Revision),
			fmt.Sprint(workers), joinOrDash(silent), joinOrDash(leaving))
	}
}

func stateOf(v *fleet.View) string {
	switch {
	case v.Leaving:
		return "leaving"
	case v.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

func joinOrDash(names []string) string {
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, ",")
}

// checkHealth returns errUnhealthy unless every instance responded, is ready or
// leaving, and all have the same revision in force.
func checkHealth(statuses []instanceStatus) error {
	for _, s := range statuses {
		if s.View == nil || !s.View.Ready && !s.View.Leaving || s.View.Revision != statuses[0].View.Revision {
			return errUnhealthy
		}
	}
	return nil
}
