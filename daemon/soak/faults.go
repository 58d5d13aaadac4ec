package soak

import (
	"context"
	"syscall"

	"cactusknot.example/daemon/emulate"
	"cactusknot.example/daemon/fleet"
	"cactusknot.example/daemon/platform"
)

func ptr[T any](v T) *T { return &v }

func isStoreFault(k Kind) bool {
	return k == StoreOutage || k == StoreSlow || k == StoreLost || k == StoreLimit
}

// faultOf returns the emulators of a fault and the bodies that begin and end it.
// A nil end means that the fault has no end or ends by itself.
func (r *run) faultOf(a Action) (targets []string, begin, end any) {
	switch a.Kind {
	case StoreOutage, StoreSlow, StoreLost, StoreLimit:
		return []string{r.fleet.PlatformURL(fleet.StoreProcess)}, storeFault(a.Kind), healthyStore()
	case VMListLag, VMListOutage:
		return []string{r.fleet.PlatformURL(fleet.VMListProcess)}, r.vmListFault(a.Kind), healthyVMList()
	case RatingDown:
		down := emulate.CommonFaults{Outage: ptr(true)}
		return []string{r.fleet.PlatformURL(fleet.RatingProcess)}, down, emulate.CommonFaults{Outage: ptr(false)}
	case ServiceResetBefore, ServiceResetAfter, ServiceErrors, ServiceCrash:
		return []string{r.fleet.BackendURL(a.Target)}, serviceFault(a), healthyService()
	case BadVersion:
		for _, vm := range engineVMs {
			targets = append(targets, r.fleet.BackendURL(vm))
		}
		return targets, emulate.EngineFaults{Quality: map[string]float64{modelSmall + "@" + a.Arg: badQuality}}, nil
	case EngineCold:
		return []string{r.fleet.BackendURL(a.Target)}, emulate.EngineFaults{Cold: true}, nil
	}
	return []string{r.fleet.BackendURL(a.Target)}, engineFault(a), healthyEngine()
}

func storeFault(k Kind) emulate.StoreFaults {
	switch k {
	case StoreOutage:
		return emulate.StoreFaults{CommonFaults: emulate.CommonFaults{Outage: ptr(true)}}
	case StoreSlow:
		return emulate.StoreFaults{CommonFaults: emulate.CommonFaults{DelayMs: ptr(slowStoreMs)}}
	case StoreLost:
		return emulate.StoreFaults{LostResponseRate: ptr(lostShare)}
	}
	return emulate.StoreFaults{CallsPerSecond: ptr(storeCalls)}
}

func healthyStore() emulate.StoreFaults {
	return emulate.StoreFaults{
		CommonFaults:   emulate.CommonFaults{Outage: ptr(false), DelayMs: ptr(0)},
		LostResponseRate:    ptr(0.0),
		CallsPerSecond: ptr(0.0),
	}
}

func (r *run) vmListFault(k Kind) emulate.VMsFaults {
	if k == VMListOutage {
		return emulate.VMsFaults{CommonFaults: emulate.CommonFaults{Outage: ptr(true)}}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lag = ms(vmListLagMs)
	return emulate.VMsFaults{LagMs: ptr(vmListLagMs)}
}

// healthyVMList leaves the lag as it is: with a shorter one, later changes would
// wait behind earlier ones all the same.
func healthyVMList() emulate.VMsFaults {
	return emulate.VMsFaults{CommonFaults: emulate.CommonFaults{Outage: ptr(false)}}
}

func serviceFault(a Action) emulate.ServiceFaults {
	switch a.Kind {
	case ServiceResetBefore:
		return emulate.ServiceFaults{ResetBefore: ptr(serviceResets)}
	case ServiceResetAfter:
		return emulate.ServiceFaults{ResetAfter: ptr(serviceResets)}
	case ServiceErrors:
		return emulate.ServiceFaults{ErrorNext: ptr(serviceResets)}
	}
	return emulate.ServiceFaults{CommonFaults: emulate.CommonFaults{CrashMs: ptr(int(a.For.Milliseconds()))}}
}

func healthyService() emulate.ServiceFaults {
	return emulate.ServiceFaults{ResetBefore: ptr(0), ResetAfter: ptr(0), ErrorNext: ptr(0)}
}

func engineFault(a Action) emulate.EngineFaults {
	duration := int(a.For.Milliseconds())
	switch a.Kind {
	case EngineCrash:
		return emulate.EngineFaults{CrashMs: ptr(duration)}
	case EngineReset:
		return emulate.EngineFaults{ResetAfterBytes: ptr(resetBytes)}
	case EngineSlow:
		return emulate.EngineFaults{SlowFactor: ptr(slowFactor)}
	case EngineFreeze:
		return emulate.EngineFaults{FreezeMs: ptr(duration)}
	}
	return emulate.EngineFaults{ErrorRate: ptr(engineErrors)}
}

func healthyEngine() emulate.EngineFaults {
	return emulate.EngineFaults{ResetAfterBytes: ptr(-1), SlowFactor: ptr(1.0), ErrorRate: ptr(0.0), FreezeMs: ptr(0)}
}

// healAll ends every fault that may be left and brings everything back.
func (r *run) healAll(ctx context.Context) {
	r.postAll(ctx, []string{r.fleet.PlatformURL(fleet.StoreProcess)}, healthyStore())
	r.postAll(ctx, []string{r.fleet.PlatformURL(fleet.VMListProcess)}, healthyVMList())
	r.postAll(ctx, []string{r.fleet.PlatformURL(fleet.RatingProcess)}, emulate.CommonFaults{Outage: ptr(false)})
	for _, vm := range engineVMs {
		r.postAll(ctx, []string{r.fleet.BackendURL(vm)}, healthyEngine())
	}
	for _, vm := range serviceVMs {
		r.postAll(ctx, []string{r.fleet.BackendURL(vm)}, healthyService())
	}
	for _, vm := range allVMs {
		_ = r.fleet.Signal(vm, syscall.SIGCONT)
		r.setVM(ctx, vm, platform.VMLive)
	}
	for _, dc := range dataCentres {
		r.operate(ctx, true, "dc", "in", dc)
	}
}
