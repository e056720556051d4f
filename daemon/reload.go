package daemon

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"godwitplank/event"
	"godwitplank/timer"
)

// settingsPollInterval is how often the settings file is checked for changes.
const settingsPollInterval = time.Second

// watchSettings returns a channel that gets the reason for each reload: "signal" for SIGHUP or "file" for a changed
// settings file, whose content is compared with the last one read.
func (d *Daemon) watchSettings(ctx context.Context) <-chan string {
	out := make(chan string, 1)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	last, _ := os.ReadFile(d.Settings.SettingsFile)
	d.wg.Go(func() {
		ticks := timer.Subscribe(ctx, settingsPollInterval)
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				notify(out, "signal")
			case <-ticks:
				text, err := os.ReadFile(d.Settings.SettingsFile)
				if err == nil && !bytes.Equal(text, last) {
					last = text
					notify(out, "file")
				}
			}
		}
	})
	return out
}

func notify(out chan<- string, reason string) {
	select {
	case out <- reason:
	default:
	}
}

// reload reads the settings and applies those that may change while the VM runs: join and stop_grace. If any setting is
// invalid, none is applied.
func (d *Daemon) reload(ctx context.Context, reason string) {
	if d.ReloadSettings == nil {
		return
	}
	next, err := d.ReloadSettings()
	if err != nil {
		d.log.Log(event.ReloadRefused, "reason", reason, "error", err.Error())
		return
	}
	var changed []string
	if !slices.Equal(next.Join, d.Settings.Join) {
		if err := d.control.SetJoin(ctx, next.Join); err != nil {
			d.log.Log(event.ReloadRefused, "reason", reason, "error", err.Error())
			return // the next reload tries again
		}
		changed = append(changed, "join")
		d.Settings.Join = next.Join
	}
	if next.StopGrace != d.Settings.StopGrace {
		changed = append(changed, "stop_grace")
		d.Settings.StopGrace = next.StopGrace
	}
	d.log.Log(event.Reloaded, "reason", reason, "changed", strings.Join(changed, ","))
}
