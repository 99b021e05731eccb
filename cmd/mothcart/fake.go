package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"gopkg.in/ini.v1"

	"mothcart/core/vm"
	"mothcart/fake/engine"
	"mothcart/fake/service"
	"mothcart/fake/store"
	"mothcart/fake/vmlist"
)

// fakeKinds lists the fakes that can run as a process.
var fakeKinds = []string{"engine", "service", "store", "vmList"}

func fakeCommand() command {
	return command{name: "fake", summary: "run a fake for tests: engine, service, store, vmList", run: runFake}
}

// fakeFlags are the flags of all fakes.
type fakeFlags struct {
	address string
	models  string
	list    string
	latency time.Duration
	seed    uint64
}

func runFake(ctx context.Context, args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet("fake", flag.ContinueOnError)
	var f fakeFlags
	fs.StringVar(&f.address, "listen", "127.0.0.1:0", "`HOST:PORT` to listen on")
	fs.StringVar(&f.models, "models", "scribe", "models of an engine, separated by commas")
	fs.StringVar(&f.list, "list", "", "INI `FILE` with the VMs of a vmList, polled for changes")
	fs.DurationVar(&f.latency, "latency", 2*time.Millisecond, "`TIME` that a call to a store or service takes")
	fs.Uint64Var(&f.seed, "seed", 1, "seed of the injected faults")
	kinds, code, proceed := parseArguments(fs, "fake "+strings.Join(fakeKinds, "|")+" [-listen HOST:PORT]", 1, args, out, errOut)
	if !proceed {
		return code
	}
	start, ok := fakeStarters[kinds[0]]
	if !ok {
		fmt.Fprintf(errOut, "mothcart fake: unknown fake %q; give one of %s\n", kinds[0], strings.Join(fakeKinds, ", "))
		return exitUsage
	}
	address, stop, err := start(ctx, f)
	if err != nil {
		fmt.Fprintf(errOut, "mothcart fake: %v\n", err)
		return exitFailure
	}
	fmt.Fprintf(out, "%s listens on %s\n", kinds[0], address)
	<-ctx.Done()
	stop()
	return exitOK
}

// fakeStarters maps each kind of fake to the function that starts it.
var fakeStarters = map[string]func(ctx context.Context, f fakeFlags) (address string, stop func(), err error){
	"engine":  startFakeEngine,
	"service": startFakeService,
	"store":   startFakeStore,
	"vmList":  startFakeVMList,
}

func startFakeEngine(_ context.Context, f fakeFlags) (string, func(), error) {
	e, err := engine.New(engine.NewOptions().WithAddress(f.address).WithSeed(f.seed).WithModels(strings.Split(f.models, ",")...))
	if err != nil {
		return "", nil, merry.Errorf("start engine: %w", err)
	}
	return e.Address(), e.Close, nil
}

func startFakeService(_ context.Context, f fakeFlags) (string, func(), error) {
	s, err := service.New(service.NewOptions().WithAddress(f.address).WithLatency(f.latency))
	if err != nil {
		return "", nil, merry.Errorf("start service: %w", err)
	}
	return s.Address(), s.Close, nil
}

func startFakeStore(_ context.Context, f fakeFlags) (string, func(), error) {
	return listenAndServe(f.address, store.New(store.NewOptions().WithSeed(f.seed).WithLatency(f.latency)).Handler())
}

// vmListPoll is the polling interval of the VM list's file.
const vmListPoll = 500 * time.Millisecond

func startFakeVMList(ctx context.Context, f fakeFlags) (string, func(), error) {
	list := vmlist.New()
	vms, err := readVMs(f.list)
	if err != nil {
		return "", nil, err
	}
	list.Set(vms)
	go func() {
		ticker := time.NewTicker(vmListPoll)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			// If the file can't be read, for example while it is being written, the list stays as it is.
			if vms, err := readVMs(f.list); err == nil {
				list.Set(vms)
			}
		}
	}()
	return listenAndServe(f.address, list.Handler())
}

// readVMs reads a VM list: one section per VM, named by its ID.
func readVMs(path string) ([]vm.VM, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Errorf("read VM list (give -list): %w", err)
	}
	file, err := ini.Load(data)
	if err != nil {
		return nil, merry.Errorf("read VM list: %w", err)
	}
	var vms []vm.VM
	for _, s := range file.Sections() {
		if s.Name() == ini.DefaultSection {
			continue
		}
		vms = append(vms, vm.VM{
			ID: s.Name(), Group: s.Key("group").String(), Region: s.Key("region").String(),
			AvailabilityZone: s.Key("availabilityZone").String(), Address: s.Key("address").String(),
			Leaving: s.Key("leaving").MustBool(false),
		})
	}
	return vms, nil
}

func listenAndServe(address string, h http.Handler) (string, func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, merry.Errorf("listen: %w", err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), func() { _ = srv.Close() }, nil
}
