package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chestnutstream/chestnutstream/hostile"
)

// hostileClients is the number of clients of a crowd at each port: few enough that they leave
// the machine time for the other processes.
const hostileClients = 40

// sendHostileClients lets clients that violate the limits connect to the ports of an instance
// for callers and peers. The seed determines what they send.
func (r *run) sendHostileClients(ctx context.Context, inst *instance, duration time.Duration, seed uint64) {
	crowds := hostile.Crowds()
	crowd := crowds[rand.New(rand.NewPCG(seed, 0)).IntN(len(crowds))]
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range []string{inst.callerAddr, inst.peerAddr()} {
		wg.Go(func() { crowd.Run(ctx, address, hostileClients) })
	}
	wg.Wait()
}
