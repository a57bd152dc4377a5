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

// errNotWell ends status with exit code 1 after its result has been written.
var errNotWell = errors.New("the fleet is not well")

// askConcurrency bounds the instances that are asked at once.
const askConcurrency = 32

// instanceStatus is what one instance answered.
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
		Long: "Ask the instances at these operator addresses what they believe.\n\n" +
			"Exit code 0: every instance answered, is ready or leaving, and all have the\n" +
			"same revision in force. Exit code 1: not so; the table says why.",
		Example: "  bulrushctl status 10.0.0.1:7003 10.0.0.2:7003\n  bulrushctl status 10.0.0.1:7003 --output json",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, addresses []string) error {
			statuses := askAll(cmd.Context(), addresses)
			err := format.write(cmd.OutOrStdout(), statuses, func(w io.Writer) { statusTable(w, statuses) })
			if err != nil {
				return err
			}
			return judge(statuses)
		},
	}
	format.flag(c)
	return c
}

func askAll(ctx context.Context, addresses []string) []instanceStatus {
	statuses := make([]instanceStatus, len(addresses))
	var group errgroup.Group
	group.SetLimit(askConcurrency)
	for i, address := range addresses {
		group.Go(func() error {
			statuses[i] = instanceStatus{Address: address}
			var view fleet.View
			if err := ask(ctx, address, operator.StatusPath, nil, &view); err != nil {
				statuses[i].Error = err.Error()
				return nil // it stands in the result
			}
			statuses[i].View = &view
			return nil
		})
	}
	_ = group.Wait() // every error stands in the result
	return statuses
}

func statusTable(w io.Writer, statuses []instanceStatus) {
	row(w, "ADDRESS", "INSTANCE", "DATA CENTRE", "STATE", "REVISION", "WORKERS", "SILENT", "LEAVING")
	for _, s := range statuses {
		if s.View == nil {
			row(w, s.Address, "-", "-", s.Error, "-", "-", "-", "-")
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
		row(w, s.Address, s.View.Instance, s.View.DataCentre, stateOf(s.View), fmt.Sprint(s.View.Revision),
			fmt.Sprint(workers), orDash(silent), orDash(leaving))
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

func orDash(names []string) string {
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, ",")
}

// judge returns errNotWell unless all are well and agree on the revision.
func judge(statuses []instanceStatus) error {
	for _, s := range statuses {
		if s.View == nil || !s.View.Ready && !s.View.Leaving || s.View.Revision != statuses[0].View.Revision {
			return errNotWell
		}
	}
	return nil
}
