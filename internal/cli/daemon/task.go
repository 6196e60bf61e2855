package daemon

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"
)

// task is a part of the daemon that runs in the background until its context ends.
type task struct {
	name string
	run  func(ctx context.Context) error
}

// appendTask adds a task that starts with the application; tasks stop in the reverse order. A task that fails stops the daemon.
func appendTask(lifecycle fx.Lifecycle, failures chan error, t task) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				err := t.run(ctx)
				if err != nil && ctx.Err() == nil {
					reportFailure(failures, errors.Wrap(err, t.name))
				}
				done <- err
			}()
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			cancel()
			select {
			case err := <-done:
				if errors.Is(err, context.Canceled) {
					return nil
				}
				return errors.Wrap(err, t.name)
			case <-stopCtx.Done():
				return errors.Newf("%s: did not stop before the stop timeout", t.name)
			}
		},
	})
}

func reportFailure(failures chan error, err error) {
	select {
	case failures <- err:
	default: // an earlier failure already stops the daemon
	}
}
