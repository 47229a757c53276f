package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"balsambarrow/internal/config"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/standin"
	"balsambarrow/platform"
)

const (
	readHeaderTimeout = 10 * time.Second
	// storeTimeout is the timeout of one call to the stand-in store.
	storeTimeout = 5 * time.Second
)

func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// serve opens a listener and serves on it until the process ends.
func serve(listen string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// announce writes text to a file that a script waits for, or prints it if file is empty.
// The file is renamed into place, so that the script never reads a partial file.
func announce(file, text string) error {
	if file == "" {
		fmt.Println(text)
		return nil
	}
	temporary := file + ".part"
	if err := os.WriteFile(temporary, []byte(text+"\n"), 0o600); err != nil {
		return errors.Wrap(err, "announce")
	}
	return errors.Wrap(os.Rename(temporary, file), "announce")
}

func platformCommand() *cobra.Command {
	var listen, file string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve the platform's store",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			ctx, stop := signalContext()
			defer stop()
			address, err := serve(listen, standin.NewKVStore())
			if err != nil {
				return err
			}
			if err := announce(file, address); err != nil {
				return err
			}
			<-ctx.Done()
			return nil
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	cmd.Flags().StringVar(&file, "announce", "", "file to write the address to")
	return cmd
}

func hostCommand() *cobra.Command {
	var url string
	host := membership.Host{State: membership.HostLive}
	cmd := &cobra.Command{
		Use:   "host",
		Short: "Write one entry of the host list to the platform's store",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), storeTimeout)
			defer cancel()
			store := platform.NewStore(url, (&net.Dialer{}).DialContext, func(string, error) {})
			return store.Put(ctx, membership.HostKey(host.Name), host.Encode(), 0)
		},
	}
	cmd.Flags().StringVar(&url, "platform", "", "the platform's URL")
	cmd.Flags().StringVar(&host.Name, "name", "", "the host's name")
	cmd.Flags().StringVar(&host.Zone, "zone", "", "the host's zone")
	cmd.Flags().StringVar(&host.PeerAddress, "peers", "", "the host's address for peers")
	return cmd
}

func upstreamsCommand() *cobra.Command {
	var file, patch string
	var perService int
	var serviceTime time.Duration
	cmd := &cobra.Command{
		Use:   "upstreams CONFIG",
		Short: "Serve the upstreams of a configuration on ports that the system picks",
		Long: "Serves the upstreams of a configuration on ports that the system picks, and writes a\n" +
			"merge patch with their addresses. The patch removes upstreams beyond --per-service.",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			ctx, stop := signalContext()
			defer stop()
			c, err := readConfig(args[0])
			if err != nil {
				return err
			}
			workers, addresses, err := startUpstreams(c, perService, serviceTime)
			if err != nil {
				return err
			}
			if err := announce(patch, addresses); err != nil {
				return err
			}
			<-ctx.Done()
			return reportUpstreams(file, workers)
		},
	}
	cmd.Flags().StringVar(&file, "report", "", "file to write the request counts of the upstreams to, at exit")
	cmd.Flags().StringVar(&patch, "announce", "", "file to write the merge patch to")
	cmd.Flags().IntVar(&perService, "per-service", 12, "number of upstreams to serve for each service")
	cmd.Flags().DurationVar(&serviceTime, "service-time", 5*time.Millisecond, "mean service time of a request")
	return cmd
}

func readConfig(path string) (*config.Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	return config.Parse(path, text)
}

type addressPatch struct {
	Upstreams map[string]*upstreamPatch `json:"upstreams"`
}

type upstreamPatch struct {
	Address string `json:"address"`
}

func startUpstreams(c *config.Config, perService int, serviceTime time.Duration) ([]*standin.Upstream, string, error) {
	patch := addressPatch{Upstreams: map[string]*upstreamPatch{}}
	servedPerService := map[string]int{}
	var workers []*standin.Upstream
	for _, name := range slices.Sorted(maps.Keys(c.Upstreams)) {
		u := c.Upstreams[name]
		if servedPerService[u.Service]++; servedPerService[u.Service] > perService {
			patch.Upstreams[name] = nil
			continue
		}
		worker := standin.NewUpstream(standin.UpstreamOptions{Slots: u.Slots, ServiceTime: serviceTime})
		address, err := serve("127.0.0.1:0", worker)
		if err != nil {
			return nil, "", err
		}
		workers = append(workers, worker)
		patch.Upstreams[name] = &upstreamPatch{Address: address}
	}
	text, err := json.Marshal(patch)
	return workers, string(text), errors.Wrap(err, "encode patch")
}

type upstreamsReport struct {
	Total             int `json:"total"`
	Shed              int `json:"shed"`
	KeysSeen          int `json:"keys_seen"`
	DuplicatePostings int `json:"doubled"`
}

func reportUpstreams(file string, workers []*standin.Upstream) error {
	var sum upstreamsReport
	runs := map[string]int{}
	for _, w := range workers {
		s := w.Stats()
		sum.Total += s.Total
		sum.Shed += s.Shed
		sum.KeysSeen += s.KeysSeen
		for name, n := range s.Postings {
			runs[name] += n
		}
	}
	for _, n := range runs {
		if n > 1 {
			sum.DuplicatePostings++
		}
	}
	text, err := json.Marshal(sum)
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	return announce(file, string(text))
}
