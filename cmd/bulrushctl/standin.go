package main

import (
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	standins "github.com/bulrushwick/bulrushwick/platform/standin"
	"github.com/bulrushwick/bulrushwick/platform/wire"
	"github.com/bulrushwick/bulrushwick/standin"
)

// listener is a running stand-in.
type listener interface {
	Address() string
	Close() error
}

func standinCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in of an outside system",
	}
	var address string
	c.PersistentFlags().StringVar(&address, "listen", "127.0.0.1:0", "address to listen on")
	c.AddCommand(
		platformCommand(&address),
		storeCommand(&address),
		engineCommand(&address),
		serviceCommand(&address),
		linkCommand(&address),
		metadataCommand(&address),
	)
	return c
}

// serveStandin logs the stand-in's address and closes it when the command's
// context ends. It returns err, the result of the start, if that failed.
func serveStandin(cmd *cobra.Command, l listener, err error) error {
	if err != nil {
		return err
	}
	log := zerolog.New(os.Stderr)
	log.Info().Str("event", "listening").Str("address", l.Address()).Send()
	<-cmd.Context().Done()
	return l.Close()
}

func platformCommand(address *string) *cobra.Command {
	return &cobra.Command{
		Use:   "platform",
		Short: "Stand in for the configuration service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p, err := standin.StartPlatform(*address)
			return serveStandin(cmd, p, err)
		},
	}
}

func storeCommand(address *string) *cobra.Command {
	config := standin.DefaultStoreConfig()
	c := &cobra.Command{
		Use:   "store",
		Short: "Stand in for the weight store",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := standin.StartStore(*address, config)
			return serveStandin(cmd, s, err)
		},
	}
	c.Flags().Float64Var(&config.LoadsPerSecond, "rate", config.LoadsPerSecond, "loads a second")
	c.Flags().DurationVar(&config.LoadTime, "load-time", config.LoadTime, "time of one load at full speed")
	return c
}

func engineCommand(address *string) *cobra.Command {
	config := standin.EngineConfig{Slots: 8, TokenTime: 2 * time.Millisecond}
	c := &cobra.Command{
		Use:   "engine",
		Short: "Stand in for a model engine",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			e, err := standin.StartEngine(*address, config)
			return serveStandin(cmd, e, err)
		},
	}
	c.Flags().IntVar(&config.Slots, "slots", config.Slots, "adapters held at once")
	c.Flags().DurationVar(&config.TokenTime, "token-time", config.TokenTime, "time between tokens of one request")
	c.Flags().BoolVar(&config.Fencing, "fencing", false, "refuse orders with an old fencing token")
	c.Flags().StringVar(&config.StoreAddress, "store", "", "address of the weight store; empty loads at once")
	return c
}

func serviceCommand(address *string) *cobra.Command {
	var name string
	c := &cobra.Command{
		Use:   "service",
		Short: "Stand in for a plain service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := standin.StartService(*address, name)
			return serveStandin(cmd, s, err)
		},
	}
	c.Flags().StringVar(&name, "name", "service", "name that answers contain")
	return c
}

func linkCommand(address *string) *cobra.Command {
	var target, faultListen string
	c := &cobra.Command{
		Use:     "link --to ADDRESS",
		Short:   "Stand in for a faulty network between two processes",
		Example: "  bulrushctl standin link --listen 127.0.0.1:7001 --to 127.0.0.1:7000 --faults 127.0.0.1:7002\n  curl '127.0.0.1:7002/?silence=true'",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			l, err := standin.StartLink(*address, target)
			if err != nil {
				return err
			}
			faultAddress, err := l.ServeFaults(faultListen)
			if err != nil {
				return err
			}
			log := zerolog.New(os.Stderr)
			log.Info().Str("event", "faults_listening").Str("address", faultAddress).Send()
			return serveStandin(cmd, l, nil)
		},
	}
	c.Flags().StringVar(&target, "to", "", "address that connections are forwarded to")
	c.Flags().StringVar(&faultListen, "faults", "127.0.0.1:0", "address of the HTTP interface that sets faults")
	_ = c.MarkFlagRequired("to")
	return c
}

// metadataServer is a stand-in of the metadata store that listens.
type metadataServer struct {
	listener net.Listener
	server   *http.Server
}

// Address implements listener.
func (m *metadataServer) Address() string { return m.listener.Addr().String() }

// Close implements listener.
func (m *metadataServer) Close() error { return m.server.Close() }

func startMetadata(address string) (*metadataServer, error) {
	opened, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	store := standins.NewStore()
	store.Put(wire.KeyConfig, standins.Configuration)
	m := &metadataServer{listener: opened, server: &http.Server{Handler: standins.NewControlledStore(store), ReadHeaderTimeout: time.Second}}
	go func() { _ = m.server.Serve(opened) }() // it returns when the server is closed
	return m, nil
}

func metadataCommand(address *string) *cobra.Command {
	return &cobra.Command{
		Use:   "metadata",
		Short: "Stand in for the metadata store of the users' platform",
		Long: "Serve a metadata store with an example configuration. POST requests under " + standins.ControlPath + "\n" +
			"write and disturb it: put?key=KEY, remove?key=KEY, copy, return?rewrite=1s (from the\n" +
			"copy, in a new era), cut (the pending watches), failing?on=true and failing.",
		Example: "  bulrushctl standin metadata --listen 127.0.0.1:8142\n  curl -X POST 127.0.0.1:8142" + standins.ControlPath + "copy",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			m, err := startMetadata(*address)
			return serveStandin(cmd, m, err)
		},
	}
}
