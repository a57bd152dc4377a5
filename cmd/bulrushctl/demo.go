package main

import (
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/bulrushwick/bulrushwick/cmd/internal/demo"
)

func demoCommand() *cobra.Command {
	var keep bool
	c := &cobra.Command{
		Use:     "demo",
		Short:   "Run both deployments in one process and send a request of each kind",
		Example: "  bulrushctl demo\n  bulrushctl demo --keep",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log := zerolog.New(cmd.ErrOrStderr()).Level(zerolog.WarnLevel)
			return demo.Run(cmd.Context(), cmd.OutOrStdout(), log, keep)
		},
	}
	c.Flags().BoolVar(&keep, "keep", false, "keep serving after the requests and print curl examples")
	return c
}
