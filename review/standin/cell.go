//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// site is what the cases take from the file of a small deployment.
type site struct {
	zones      []string
	maxLeaseMs int64
	stopMs     int
	cpu, memMb int64
}

var (
	kerlannVoix = site{zones: []string{"bzh-rns", "pdl-nts", "bzh-lnn"}, maxLeaseMs: 6000, stopMs: 400, cpu: 16_000, memMb: 32_768}
	altynIz     = site{zones: []string{"almaty-a", "astana-a", "almaty-b"}, maxLeaseMs: 10_000, stopMs: 200, cpu: 64_000, memMb: 262_144}
)

// host is the host name of the routes.
const host = "nony24.example"

// process is a process that the case started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// cellUnderTest is the daemons with their stand-ins.
type cellUnderTest struct {
	site      site
	dir, root string
	store     *process
	network   int
	lock      net.Listener
	processes []*process
	daemons   []*process

	mu     sync.Mutex
	record *os.File
	// runs holds the runs of each task in the order of their begin.
	runs map[string][]runSeen
}

// runSeen is a run as its worker saw it.
type runSeen struct {
	worker, number string
	begun, ended   time.Time
	how            string
	// noted is when the end was taken note of.
	noted time.Time
}

func (c *cellUnderTest) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%s %s\n", stamp(), fmt.Sprintf(format, args...))
}

// newCell claims a free loopback network and opens the record in the folder of the case.
func newCell(folder string) (*cellUnderTest, error) {
	c := &cellUnderTest{site: kerlannVoix, runs: map[string][]runSeen{}}
	var err error
	if c.root, err = os.Getwd(); err != nil {
		return nil, err
	}
	if c.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		return nil, err
	}
	if c.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	for i := range 60 {
		c.network = 130 + (os.Getpid()+i)%60
		if c.lock, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.254:8169", c.network)); err == nil {
			return c, nil
		}
	}
	return nil, fmt.Errorf("no free loopback network: %w", err)
}

// start starts a process whose output is read line by line.
func (c *cellUnderTest) start(name string, env []string, line func(string), argv ...string) (*process, error) {
	p := &process{name: name, cmd: exec.Command(argv[0], argv[1:]...), done: make(chan struct{})}
	p.cmd.Dir = c.root
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.dir}, env...)
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if p.cmd.Stderr, err = os.Create(filepath.Join(c.dir, name+".err")); err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		scanner := bufio.NewScanner(out)
		scanner.Buffer(nil, 1<<20)
		for scanner.Scan() {
			line(scanner.Text())
		}
		_, _ = io.Copy(io.Discard, out)
		_ = p.cmd.Wait()
		close(p.done)
		c.note("process %s (%d) has ended: %s", name, p.cmd.Process.Pid, p.cmd.ProcessState)
	}()
	c.note("process %s has pid %d", name, p.cmd.Process.Pid)
	c.processes = append(c.processes, p)
	return p, nil
}

func (c *cellUnderTest) kill(p *process) {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// stop ends all processes that the case started.
func (c *cellUnderTest) stop() {
	for _, p := range c.processes {
		if p.alive() {
			c.kill(p)
		}
	}
	_ = c.lock.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
	_ = c.record.Close()
}

func (c *cellUnderTest) standin() string      { return filepath.Join(c.root, "review/bin/standin") }
func (c *cellUnderTest) storeAddress() string { return fmt.Sprintf("127.%d.1.1:8169", c.network) }
func (c *cellUnderTest) adviceAddress() string {
	return fmt.Sprintf("127.%d.1.2:8169", c.network)
}
func (c *cellUnderTest) daemonIP(i int) string { return fmt.Sprintf("127.%d.0.%d", c.network, i+1) }

func (c *cellUnderTest) startStore() error {
	var err error
	if c.store, err = c.start("store", nil, func(string) {}, c.standin(), "store", "-address", c.storeAddress()); err != nil {
		return err
	}
	return awaitListen(c.storeAddress())
}

func awaitListen(address string) error {
	for range 200 {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			return conn.Close()
		}
		time.Sleep(25 * time.Millisecond)
	}
	return fmt.Errorf("nothing listens at %s", address)
}

// startWorkers starts workers first to first+count-1 in one process.
func (c *cellUnderTest) startWorkers(first, count int) (*process, error) {
	p, err := c.start(fmt.Sprintf("workers-%d", first), nil, c.noteWorkerLine, c.standin(), "workers", "-store", c.storeAddress(),
		"-network", fmt.Sprint(c.network), "-first", fmt.Sprint(first), "-count", fmt.Sprint(count),
		"-zone", c.site.zones[first%len(c.site.zones)], "-cpu", fmt.Sprint(c.site.cpu), "-mem", fmt.Sprint(c.site.memMb), "-lease", fmt.Sprint(c.site.maxLeaseMs))
	if err != nil {
		return nil, err
	}
	return p, awaitListen(workerAddress(c.network, first))
}

// noteWorkerLine records what a worker did, and keeps count of its runs.
func (c *cellUnderTest) noteWorkerLine(line string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintln(c.record, line)
	f := strings.Fields(line)
	if len(f) < 4 {
		return
	}
	id := strings.TrimSuffix(f[2], ":")
	switch {
	case strings.Contains(line, " begins "):
		c.runs[f[6]] = append(c.runs[f[6]], runSeen{worker: id, number: f[4], begun: time.Now()})
	case strings.Contains(line, " ends: "):
		for i := range c.runs[f[6]] {
			if r := &c.runs[f[6]][i]; r.worker == id && r.number == f[4] && r.ended.IsZero() {
				r.ended, r.how = time.Now(), f[8]
			}
		}
	case strings.HasSuffix(line, " has its end noted"):
		for i := range c.runs[f[6]] {
			if r := &c.runs[f[6]][i]; r.worker == id && r.number == f[4] {
				r.noted = time.Now()
			}
		}
	}
}

// workerCrashed ends the runs on a worker whose process was killed.
func (c *cellUnderTest) workerCrashed(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task := range c.runs {
		for i := range c.runs[task] {
			if r := &c.runs[task][i]; r.worker == id && r.ended.IsZero() {
				r.ended, r.how = time.Now(), "lost with its worker"
			}
		}
	}
}

// taskRuns returns the runs of a task that were seen so far.
func (c *cellUnderTest) taskRuns(task string) []runSeen {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]runSeen(nil), c.runs[task]...)
}

func (c *cellUnderTest) startAdvice(good float64) error {
	if _, err := c.start("advice", nil, func(string) {}, c.standin(), "advice", "-address", c.adviceAddress(), "-good", fmt.Sprint(good)); err != nil {
		return err
	}
	return awaitListen(c.adviceAddress())
}

// Routes of the configuration: one without advice and one with it.
const (
	plainPrefix  = "/pule252/"
	adviedPrefix = "/lohu930/"
)

// publishConfig writes the configuration as the operator does.
func (c *cellUnderTest) publishConfig() error {
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{"name": name, "host": host, "prefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 1200,
			"priority": priority, "service": service, "maxAttempts": 4, "slackFactor": 2.2}
	}
	advised := route("r-3hwrr6x", adviedPrefix, 1)
	advised["advice"] = map[string]any{"decisionMs": decisionMs, "periodMs": periodMs, "validityMs": validityMs}
	value, err := json.Marshal(map[string]any{"version": 7, "routes": []any{route("r-9n73hh2", plainPrefix, 0), advised},
		"services": []any{map[string]any{"name": service, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "admissionControl": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
	if err != nil {
		return err
	}
	return appendRecord(c.storeAddress(), "keyed.op", "config", value)
}

// startDaemons starts the daemons with the command of the deploy file and waits until all are ready.
func (c *cellUnderTest) startDaemons(count int) error {
	for i := range count {
		node := fmt.Sprintf("edge-%s-%d", c.site.zones[i%len(c.site.zones)], i/len(c.site.zones)+1)
		path := filepath.Join(c.dir, node+".toml")
		if err := os.WriteFile(path, []byte(c.settings(i, count, node)), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(c.dir, node+".log"))
		if err != nil {
			return err
		}
		p, err := c.start(node, []string{"CATKINVALVE_BOOT=" + path}, func(l string) { fmt.Fprintln(log, l) }, filepath.Join(c.root, "target/catkinvalved"), "--platform")
		if err != nil {
			return err
		}
		c.daemons = append(c.daemons, p)
	}
	for i := range count {
		if err := c.awaitReady(i); err != nil {
			return err
		}
	}
	return nil
}

func (c *cellUnderTest) awaitReady(i int) error {
	client := http.Client{Timeout: time.Second}
	for range 200 {
		if resp, err := client.Get("http://" + c.daemonIP(i) + ":8167/-/readyz"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("daemon %d is not ready", i)
}

// settings returns the settings file of a daemon, like that of the small deployment.
func (c *cellUnderTest) settings(i, count int, node string) string {
	var seeds []string
	for n := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", c.daemonIP(n)+":8166"))
	}
	var regions []string
	for _, z := range c.site.zones {
		regions = append(regions, fmt.Sprintf("%s = %q", z, regionOf(z)))
	}
	zone := c.site.zones[i%len(c.site.zones)]
	return fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "edge"
serves = ["edge","control"]
ip = %q
zone = %q
region = %q
internalPorts = [7720,7735]
seeds = [%s]
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
controlMode = "rpc"
advice = %q
[zones]
%[8]s
[listenAddrs]
frontend = "%[2]s:8161"
readiness = "%[2]s:8167"
control = "%[2]s:8166"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
holdMaxMs = %[9]d
stopTimeoutMs = %[10]d
gangTimeoutMs = 3000
graceS = 6
status_s = 120
[platform]
address = %[7]q
form = "log"
writesPerS = 600
readsPerS = 2000
recordBytes = 262144
requestBytes = 2097152
keep_s = 300
`, node, c.daemonIP(i), zone, regionOf(zone), strings.Join(seeds, ","), c.adviceAddress(), c.storeAddress(), strings.Join(regions, "\n"), c.site.maxLeaseMs, c.site.stopMs)
}

// regionOf returns the region of a zone, the first part of its name.
func regionOf(zone string) string { return strings.Split(zone, "-")[0] }

// call makes one request of a client to a daemon. The status is 0 without an answer.
func (c *cellUnderTest) call(method string, daemon int, path, body string) (int, string) {
	return c.callOver(http.DefaultTransport, method, daemon, path, body)
}

// callOver makes a request over the connections of a transport.
func (c *cellUnderTest) callOver(connections http.RoundTripper, method string, daemon int, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+c.daemonIP(daemon)+":8161"+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	client := http.Client{Timeout: 3 * time.Second, Transport: connections}
	resp, err := client.Do(req)
	if err != nil {
		c.note("client: %s %s at daemon %d: no answer", method, path, daemon)
		return 0, ""
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	text := string(bytes.TrimSpace(data))
	c.note("client: %s %s at daemon %d: %d %s", method, path, daemon, resp.StatusCode, text)
	return resp.StatusCode, text
}

// submit hands a job in, as a client with four retries does, and reports whether it was accepted.
func (c *cellUnderTest) submit(prefix, id, body string) bool {
	for try := range 5 {
		status, _ := c.call(http.MethodPost, try%len(c.daemons), prefix+id, body)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks all daemons in turn for the state of a job, until one knows it.
func (c *cellUnderTest) state(prefix, id string) string {
	for i := range c.daemons {
		status, body := c.call(http.MethodGet, i, prefix+id, "")
		var s struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(body), &s) == nil {
			return s.State
		}
	}
	return ""
}

// leader returns the daemon that the newest leader record in the store names.
func (c *cellUnderTest) leader() (int, error) {
	resp, err := http.Get("http://" + c.storeAddress() + "/-/log-newest?topic=keyed.leader&part=0")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var page struct {
		Items []struct {
			Value []byte `json:"value"`
		} `json:"items"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&page); err != nil {
		return 0, err
	}
	for _, item := range page.Items {
		for i, d := range c.daemons {
			if bytes.Contains(item.Value, []byte(d.name)) {
				return i, nil
			}
		}
	}
	return 0, fmt.Errorf("the store names no leader")
}
