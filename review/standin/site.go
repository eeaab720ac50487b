//go:build review

package main

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// site is a small deployment: the settings of its controllers and the machines that are up at the start. The cloud has
// no others.
type site struct {
	location     string
	deployment   config.Deployment
	machineType  protocol.MachineType
	machineZones []string
	limitCPU     bool          // hold the controllers to their share of a core
	fetchTime    time.Duration // of an image of imageGB
	runTime      time.Duration // of a task of an array or a gang
}

const (
	dakarport   = "dakarport"
	dublinbay   = "dublinbay"
	shannonside = "shannonside"
)

// ndiaye returns the Ndiaye Pressure Logger Model Fleet with the given machines.
func ndiaye(machineZones ...string) site {
	return site{
		location: dakarport,
		deployment: config.Deployment{
			Controllers:      3,
			Zones:            []string{dakarport, "kaolackinland"},
			MaxClockOffsetMS: 5,
			Teams:            []config.Team{{Name: "equipethies"}},
			Objectives: []config.Objective{
				{Kind: "wait", Class: "tracereader", WithinSeconds: 15, Fraction: 0.8},
				{Kind: "finished", Class: "districtsweep", WithinSeconds: 150, Fraction: 0.88},
				{Kind: "wait", Class: "vanquery", WithinSeconds: 1, Fraction: 0.88},
				{Kind: "wait", Class: "burstcast", WithinSeconds: 50, Fraction: 0.72},
				{Kind: "finished", Class: "burstcast", WithinSeconds: 300, Fraction: 0.88},
			},
			Workers: config.Workers{
				HeartbeatSeconds: 3, LeaseSeconds: 29, GangWaitSeconds: 35, GangPeerSeconds: 6, CancelSeconds: 59,
			},
			Store: config.StoreLimits{RPS: 150, WriteRPS: 50, ValueKB: 8, TxnOps: 16},
			Cloud: config.Cloud{RPS: 2, ListLagSeconds: 8},
			Quota: config.Quota{CoreShare: 0.096, RAMMB: 70, MaxSockets: 600},
		},
		machineType: protocol.MachineType{
			Name: "baobab", CPUs: 48, GPUs: 8, MemoryGB: 192, CacheGB: 600, FetchGBPerSecond: 9,
			HourlyPrice: 18.78, HourlySpotPrice: 8.73, BootSeconds: 40,
			Zones: []string{dakarport, "kaolackinland"},
		},
		machineZones: machineZones,
		fetchTime:    time.Second,
		runTime:      4 * time.Second,
	}
}

// crossword returns the Crossword Guild Serving Fleet with the given number of machines in each zone. Its controllers
// are held to their share of a core.
func crossword(perZone int) site {
	s := ndiaye()
	s.limitCPU = true
	s.location = dublinbay
	s.deployment = config.Deployment{
		Controllers:      3,
		Zones:            []string{dublinbay, shannonside},
		MaxClockOffsetMS: 250,
		Teams:            []config.Team{{Name: "liffeydesk"}, {Name: "corkpuzzlers"}},
		Objectives: []config.Objective{
			{Kind: "wait", Class: "cluesmith", WithinSeconds: 40, Fraction: 0.85},
			{Kind: "finished", Class: "gridsweep", WithinSeconds: 150, Fraction: 0.85},
			{Kind: "finished", Class: "gridsweep", WithinSeconds: 250, Fraction: 0.93},
			{Kind: "finished", Class: "wordlistmega", WithinSeconds: 400, Fraction: 0.8},
		},
		Workers: config.Workers{
			HeartbeatSeconds: 1, LeaseSeconds: 10, GangWaitSeconds: 45, GangPeerSeconds: 4, CancelSeconds: 40,
		},
		Store: config.StoreLimits{RPS: 120, WriteRPS: 25, ValueKB: 8, TxnOps: 16},
		Cloud: config.Cloud{RPS: 2, ListLagSeconds: 10},
		Quota: config.Quota{CoreShare: 0.096, RAMMB: 70, MaxSockets: 500},
	}
	s.machineType = protocol.MachineType{
		Name: "bogoak", CPUs: 96, GPUs: 8, MemoryGB: 576, CacheGB: 800, FetchGBPerSecond: 1.7,
		HourlyPrice: 27.18, HourlySpotPrice: 9.12, BootSeconds: 35,
		Zones: []string{dublinbay, shannonside},
	}
	for range perZone {
		s.machineZones = append(s.machineZones, dublinbay, shannonside)
	}
	return s
}

// imageGB returns the size of an image that a machine fetches within fetchTime.
func (s *site) imageGB() float64 { return s.machineType.FetchGBPerSecond * s.fetchTime.Seconds() }

// job returns a job of the site's team. Each task takes the given resources.
func (s *site) job(number int, class string, shape protocol.Shape, priority protocol.Priority, tasks int,
	cpus, gpus, memoryGB float64,
) protocol.Job {
	job := protocol.Job{
		ID: jobID(number), Class: class, Team: s.deployment.Teams[0].Name, Shape: shape, Priority: priority,
		TaskCount: tasks, CPUs: cpus, GPUs: gpus, MemoryGB: memoryGB,
		Image: "img-" + class, ImageGB: s.imageGB(),
	}
	if shape != protocol.Service {
		job.EstimateSeconds = s.runTime.Seconds()
	}
	return job
}
