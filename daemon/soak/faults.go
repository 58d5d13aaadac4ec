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
	return k == StoreOutage || k == StoreSlow || k == StoreLostResponses || k == StoreRateLimit || k == StoreRestore
}

// faultOf returns the base URLs of the emulators to post a fault to, and the
// bodies that begin and end it. A nil end means that the fault stays or ends
// by itself.
func (r *run) faultOf(a Action) (targets []string, begin, end any) {
	switch a.Kind {
	case StoreRestore:
		return []string{r.fleet.PlatformURL(fleet.StoreProcess)}, emulate.StoreFaults{Backup: true}, emulate.StoreFaults{Restore: true}
	case StoreOutage, StoreSlow, StoreLostResponses, StoreRateLimit:
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
	case StoreLostResponses:
		return emulate.StoreFaults{LostResponseRate: ptr(lostResponseRate)}
	}
	return emulate.StoreFaults{CallsPerSecond: ptr(storeCallsPerSecond)}
}

func healthyStore() emulate.StoreFaults {
	return emulate.StoreFaults{
		CommonFaults:     emulate.CommonFaults{Outage: ptr(false), DelayMs: ptr(0)},
		LostResponseRate: ptr(0.0),
		CallsPerSecond:   ptr(0.0),
	}
}

func (r *run) vmListFault(k Kind) emulate.VMsFaults {
	if k == VMListOutage {
		return emulate.VMsFaults{CommonFaults: emulate.CommonFaults{Outage: ptr(true)}}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vmListLag = ms(vmListLagMs)
	return emulate.VMsFaults{LagMs: ptr(vmListLagMs)}
}

// healthyVMList keeps the lag: if it became shorter, later changes would still
// queue behind earlier ones.
func healthyVMList() emulate.VMsFaults {
	return emulate.VMsFaults{CommonFaults: emulate.CommonFaults{Outage: ptr(false)}}
}

func serviceFault(a Action) emulate.ServiceFaults {
	switch a.Kind {
	case ServiceResetBefore:
		return emulate.ServiceFaults{ResetBefore: ptr(serviceFaultCount)}
	case ServiceResetAfter:
		return emulate.ServiceFaults{ResetAfter: ptr(serviceFaultCount)}
	case ServiceErrors:
		return emulate.ServiceFaults{ErrorNext: ptr(serviceFaultCount)}
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
	case EngineLeaving:
		return emulate.EngineFaults{AnnouncementFaults: emulate.AnnouncementFaults{Leaving: ptr(true)}}
	case EnginePause:
		return emulate.EngineFaults{AnnouncementFaults: emulate.AnnouncementFaults{RetryAfter: &[]string{a.Arg}}}
	}
	return emulate.EngineFaults{ErrorRate: ptr(engineErrorRate)}
}

func healthyEngine() emulate.EngineFaults {
	return emulate.EngineFaults{
		ResetAfterBytes: ptr(-1), SlowFactor: ptr(1.0), ErrorRate: ptr(0.0), FreezeMs: ptr(0),
		AnnouncementFaults: emulate.AnnouncementFaults{Leaving: ptr(false), RetryAfter: &[]string{}},
	}
}

// clearFaults ends all remaining faults and puts all VMs and data centres back
// into service.
func (r *run) clearFaults(ctx context.Context) {
	r.postFaults(ctx, []string{r.fleet.PlatformURL(fleet.StoreProcess)}, healthyStore())
	r.postFaults(ctx, []string{r.fleet.PlatformURL(fleet.VMListProcess)}, healthyVMList())
	r.postFaults(ctx, []string{r.fleet.PlatformURL(fleet.RatingProcess)}, emulate.CommonFaults{Outage: ptr(false)})
	for _, vm := range engineVMs {
		r.postFaults(ctx, []string{r.fleet.BackendURL(vm)}, healthyEngine())
	}
	for _, vm := range serviceVMs {
		r.postFaults(ctx, []string{r.fleet.BackendURL(vm)}, healthyService())
	}
	for _, vm := range allVMs {
		_ = r.fleet.Signal(vm, syscall.SIGCONT)
		r.setVMState(ctx, vm, platform.VMLive)
	}
	for _, dc := range dataCentres {
		r.runOperator(ctx, true, "dc", "in", dc)
	}
}
