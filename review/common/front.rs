//! Starts `jackdawmux front` with the command of the deploy file and a settings file.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::http::Channel;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Settings of one process that differ between cases.
#[derive(Clone)]
pub struct FrontPlan {
    pub name: String,
    pub ip: String,
    pub zone: String,
    pub store: SocketAddr,
    pub grace: String,
}

/// Zones and regions of every case: two zones in each of three regions.
pub const ZONES: [(&str, &str); 6] = [
    ("nord-a", "nord"),
    ("centre-a", "centre"),
    ("sud-a", "sud"),
    ("nord-b", "nord"),
    ("centre-b", "centre"),
    ("sud-b", "sud"),
];

impl FrontPlan {
    /// The settings file, with the bounds of the site chauxpartage.
    pub fn settings(&self) -> String {
        let Self { name, ip, zone, store, grace } = self;
        let region = ZONES.iter().find(|(other, _)| other == zone).map_or("", |(_, region)| region);
        let zones: String =
            ZONES.iter().map(|(zone, region)| format!("{zone} = \"{region}\"\n")).collect();
        format!(
            "node = \"{name}\"\nrole = \"front\"\nmachineClass = \"front\"\n\
             serves = [\"front\",\"directory\"]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
             region = \"{region}\"\ninternalPorts = [7720,7735]\nseeds = []\nbootstrap = true\n\
             lossCounts = false\ndiscovery = \"platform\"\nentry = \"directory\"\n\
             heartbeat = \"1500ms\"\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"places\",\"platform\"]\n\
             [zones]\n{zones}[listen]\nfront = \"{ip}:8161\"\nready = \"{ip}:8167\"\n\
             control = \"{ip}:8166\"\ndirectory = \"{ip}:8164\"\n\
             [limits]\ncpuShare = 0.4\ncores = 1\nmemoryMb = 520\nmaxFds = 8200\n\
             linkMbps = 2000.0\ndiskMb = 0\n[tolerate]\nmachines = 1\nzones = 1\nregions = 1\n\
             [bounds]\nseedLag = \"3s\"\nreuseAfter = \"2s\"\nstabilityWindow = \"3000ms\"\n\
             ack = \"4000ms\"\ncatchUp = \"4s\"\ndrain = \"2500ms\"\ngrace = \"{grace}\"\n\
             lossSlack = \"200ms\"\nconfigApply = \"2500ms\"\nrollbackSlack = \"250ms\"\n\
             maxStretch = \"5000ms\"\nretryBudgetRatio = 0.2\nbudgetWindow = \"10s\"\n\
             retryBudgetSlack = 62\ncoldMultiplier = 1.5\ncoldSlack = 5\nevacuation = \"5000ms\"\n\
             recovery = \"15s\"\nttl_max = \"5s\"\nmaxShiftFraction = 0.15\n\
             [platform]\naddress = \"{store}\"\nform = \"objects\"\nwritesPerS = 400\n\
             readsPerS = 2000\nhistory = \"20s\"\nmaxValueBytes = 1048576\nminTtl = \"1000ms\"\n"
        )
    }
}

/// A running front process, which is killed when this is dropped.
pub struct Front {
    pub name: String,
    /// Address for clients.
    pub address: SocketAddr,
    ready: SocketAddr,
    child: Child,
    file: PathBuf,
    is_over: AtomicBool,
}

impl Front {
    /// Starts a process in the folder for temporary files.
    pub fn start(plan: &FrontPlan, folder: &str) -> Self {
        let file = PathBuf::from(format!("{folder}/{}.toml", plan.name));
        std::fs::write(&file, plan.settings()).expect("the settings can be written");
        let log = File::create(format!("{folder}/{}.log", plan.name)).expect("a log file");
        let errors = log.try_clone().expect("a second handle of the log file");
        let child = Command::new("target/release/jackdawmux")
            .args(["front", "--metrics-port", "9464"])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("JACKDAWMUX_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("target/release/jackdawmux starts");
        let address = |port: u16| format!("{}:{port}", plan.ip).parse().expect("an address");
        let (name, is_over) = (plan.name.clone(), AtomicBool::new(false));
        Self { name, address: address(8161), ready: address(8167), child, file, is_over }
    }

    /// Replaces the settings file.
    pub fn replace_settings(&self, plan: &FrontPlan) {
        std::fs::write(&self.file, plan.settings()).expect("the settings can be written");
    }

    pub fn signal(&self, signal: i32) {
        if !self.is_over.load(Ordering::SeqCst) {
            // SAFETY: the process is a child that has not been waited for.
            unsafe { kill(self.child.id() as i32, signal) };
        }
    }

    pub fn is_ready(&self) -> bool {
        let exchanged =
            Channel::connect(self.ready, Duration::from_millis(500)).and_then(|mut channel| {
                let request = format!(
                    "GET /ready HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
                    self.ready
                );
                channel.exchange(request.as_bytes(), Duration::from_millis(500))
            });
        exchanged.is_ok_and(|response| response.status() == 200)
    }

    /// Waits until the process says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let ended = matches!(self.child.try_wait(), Ok(Some(_)));
        self.is_over.fetch_or(ended, Ordering::SeqCst);
        ended
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        if !self.has_ended() {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

/// A free loopback network: its first three numbers.
pub fn free_network() -> String {
    let mut seed = std::process::id() ^ (Instant::now().elapsed().subsec_nanos());
    for _ in 0..200 {
        seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let network = format!("127.{}.{}", 20 + (seed >> 8) % 200, (seed >> 16) % 250);
        let is_free =
            |port: u16| TcpListener::bind((format!("{network}.1").as_str(), port)).is_ok();
        if [8161, 8164, 8167, 9464, 7720].into_iter().all(is_free) {
            return network;
        }
    }
    panic!("no free loopback network");
}
