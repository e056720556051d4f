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

// reloadPause is how often the settings file is looked at.
const reloadPause = time.Second

// watchSettings returns a channel that gets the reason whenever the settings are to be read again.
func (d *Daemon) watchSettings(ctx context.Context) <-chan string {
	out := make(chan string, 1)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	last, _ := os.ReadFile(d.Settings.SettingsFile)
	d.group.Go(func() {
		ticks := timer.Subscribe(ctx, reloadPause)
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

func notify(out chan<- string, why string) {
	select {
	case out <- why:
	default:
	}
}

// reload puts the settings in force that may change while the VM runs. Faulty settings change nothing.
func (d *Daemon) reload(ctx context.Context, why string) {
	if d.Reread == nil {
		return
	}
	next, err := d.Reread()
	if err != nil {
		d.log.Log(event.ReloadRefused, "reason", why, "error", err.Error())
		return
	}
	var changed []string
	if !slices.Equal(next.Join, d.Settings.Join) {
		changed = append(changed, "join")
		d.Settings.Join = next.Join
		if err := d.control.SetJoin(ctx, next.Join); err != nil {
			d.log.Log(event.ReloadRefused, "reason", why, "error", err.Error())
		}
	}
	if next.StopGrace != d.Settings.StopGrace {
		changed = append(changed, "stop_grace")
		d.Settings.StopGrace = next.StopGrace
	}
	d.log.Log(event.Reloaded, "reason", why, "changed", strings.Join(changed, ","))
}
