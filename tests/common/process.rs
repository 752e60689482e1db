//! Child processes that end with the test.

use std::fs::File;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

use super::{POLL_INTERVAL, TestEnv, WAIT_TIMEOUT};

/// A signal that tests send.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    /// Asks a process to finish its work and end.
    Term,
    /// Pauses a process.
    Stop,
    /// Lets a paused process go on.
    Cont,
    /// Says that the settings file has changed.
    Hangup,
}

impl Signal {
    fn option(self) -> &'static str {
        match self {
            Signal::Term => "-TERM",
            Signal::Stop => "-STOP",
            Signal::Cont => "-CONT",
            Signal::Hangup => "-HUP",
        }
    }
}

/// A running child; it is killed when dropped.
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a binary; its output goes to `name`.log in the environment's directory.
    pub fn start(env: &TestEnv, name: &str, binary: &str, args: &[&str]) -> Self {
        let log = env.path(&format!("{name}.log"));
        let out = File::create(&log).expect("the directory is writable");
        let err = out.try_clone().expect("an open file can be cloned");
        let child = Command::new(binary)
            .args(args)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .expect("the binary starts");
        Process { child, log }
    }

    /// What it wrote so far.
    pub fn output(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal to this child alone.
    pub fn signal(&self, signal: Signal) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([signal.option(), &pid]).status();
        assert!(sent.expect("kill is installed").success());
    }

    /// Ends it at once, as a crash of its host would.
    pub fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// How it ended; none while it runs.
    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("a child can be waited for")
    }

    /// Waits for its end.
    pub async fn wait(&mut self) -> ExitStatus {
        let waiting = async {
            loop {
                match self.child.try_wait().expect("a child can be waited for") {
                    Some(status) => return status,
                    None => tokio::time::sleep(POLL_INTERVAL).await,
                }
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, waiting)
            .await
            .expect("the process ends in time")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
